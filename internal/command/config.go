package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/dghubble/sling"
	"github.com/google/uuid"
	"github.com/spf13/cobra"
	"github.com/tailscale/hujson"

	"github.com/rattanwall/rattanwall/internal/admin"
	"github.com/rattanwall/rattanwall/internal/config"
)

func newConfig() *cobra.Command {
	c := &client{}
	cmd := &cobra.Command{Use: "config", Short: "Read and change the configuration"}
	c.addFlags(cmd)
	cmd.AddCommand(configGet(c), configCheck(c), configPatch(c), configHistory(c), configWait(c), configRevert(c))
	return cmd
}

func configGet(c *client) *cobra.Command {
	return &cobra.Command{
		Use:     "get",
		Short:   "Print the configuration and its version",
		Example: "  rattanwall config get",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var result admin.ConfigResponse
			if err := c.do(cmd.Context(), c.newRequest().Get("/v1/config"), &result); err != nil {
				return err
			}
			return c.print(cmd, result, nil)
		},
	}
}

func configPatch(c *client) *cobra.Command {
	var file, id string
	var version int64
	cmd := &cobra.Command{
		Use:   "patch",
		Short: "Change the configuration by a JSON merge patch",
		Long: `Change the configuration by a JSON merge patch (comments allowed) against a
numbered version. The patch takes effect everywhere or is refused. When the
outcome is unknown (exit code 3), run the same command with the --id it printed:
a patch that took effect is recognised.`,
		Example: `  echo '{"services":{"orders":{"timeout_ms":5000}}}' | rattanwall config patch --version 7
  rattanwall config patch --version 8 --file patch.jsonc`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			patch, err := readJSON(file, cmd.InOrStdin())
			if err != nil {
				return err
			}
			if id == "" {
				id = uuid.NewString()
			}
			var result admin.PatchResponse
			s := c.newRequest().Patch("/v1/config").Set("If-Match", strconv.Quote(strconv.FormatInt(version, 10))).
				Set("Idempotency-Key", id).BodyJSON(patch)
			if err := c.do(cmd.Context(), s, &result); err != nil {
				cmd.PrintErrln("patch id: " + id)
				return err
			}
			return c.print(cmd, result, func() { cmd.Printf("version %d\n", result.Version) })
		},
	}
	cmd.Flags().StringVar(&file, "file", "-", "file with the patch; - for standard input")
	cmd.Flags().Int64Var(&version, "version", 0, "version that the patch is against, as 'config get' printed it")
	cmd.Flags().StringVar(&id, "id", "", "id of the patch, to repeat one whose outcome is unknown")
	_ = cmd.MarkFlagRequired("version")
	return cmd
}

func readJSON(file string, stdin io.Reader) (json.RawMessage, error) {
	var raw []byte
	var err error
	if file == "-" {
		raw, err = io.ReadAll(stdin)
	} else {
		raw, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, err
	}
	patch, err := hujson.Standardize(raw)
	if err != nil {
		return nil, fmt.Errorf("the patch is no JSON: %w", err)
	}
	return patch, nil
}

func configHistory(c *client) *cobra.Command {
	return &cobra.Command{
		Use:     "history",
		Short:   "List the newest changes: version, when, by whom",
		Example: "  rattanwall config history --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			var changes []config.Change
			if err := c.do(cmd.Context(), c.newRequest().Get("/v1/config/history"), &changes); err != nil {
				return err
			}
			return c.print(cmd, changes, func() {
				t := newTable(cmd.OutOrStdout(), "VERSION", "AT", "BY", "PATCH")
				for _, change := range changes {
					t.row(change.Version, time.UnixMilli(change.AtUnixMS).UTC().Format(time.RFC3339), change.Author, truncate(string(change.Patch)))
				}
				t.flush()
			})
		},
	}
}

// truncate shortens a text to fit a table cell.
func truncate(s string) string {
	const limit = 100
	if len(s) <= limit {
		return s
	}
	return s[:limit] + "..."
}

func configWait(c *client) *cobra.Command {
	var limit time.Duration
	cmd := &cobra.Command{
		Use:     "wait VERSION",
		Short:   "Wait until a version is in force at every live node",
		Example: "  rattanwall config wait 8 --timeout 10s",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			c.timeout = limit + clientTimeout
			var result admin.WaitResponse
			q := struct {
				Version   string `url:"version"`
				TimeoutMS int64  `url:"timeout_ms"`
			}{args[0], limit.Milliseconds()}
			if err := c.do(cmd.Context(), c.newRequest().Get("/v1/config/wait").QueryStruct(q), &result); err != nil {
				return err
			}
			err := c.print(cmd, result, func() {
				t := newTable(cmd.OutOrStdout(), "NODE", "VERSION")
				for node, v := range result.Nodes {
					t.row(node, v)
				}
				t.flush()
			})
			if err == nil && !result.InForce {
				cmd.PrintErrf("version %d is not in force everywhere\n", result.Version)
				return errFailed
			}
			return err
		},
	}
	cmd.Flags().DurationVar(&limit, "timeout", 10*time.Second, "how long to wait, at most a minute")
	return cmd
}

func configRevert(c *client) *cobra.Command {
	return &cobra.Command{
		Use:     "revert VERSION",
		Short:   "Make a new version with the content of an older one",
		Example: "  rattanwall config revert 6",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			version, err := strconv.ParseInt(args[0], 10, 64)
			if err != nil {
				return fmt.Errorf("VERSION: give a number")
			}
			var result admin.PatchResponse
			s := c.newRequest().Post("/v1/config/revert").Set("Idempotency-Key", uuid.NewString()).BodyJSON(map[string]int64{"version": version})
			if err := c.do(cmd.Context(), s, &result); err != nil {
				return err
			}
			return c.print(cmd, result, func() { cmd.Printf("version %d\n", result.Version) })
		},
	}
}

// newResourceCommand returns the command with subcommands to create, get, list and
// delete one kind of resource in the configuration.
func newResourceCommand[V any](kind, path, example string, columns []string, row func(name string, v V) []any) *cobra.Command {
	c := &client{}
	cmd := &cobra.Command{Use: kind, Short: "Create, show and delete " + path}
	c.addFlags(cmd)
	listAll := func(cmd *cobra.Command) (map[string]V, error) {
		var found map[string]V
		err := c.do(cmd.Context(), c.newRequest().Get("/v1/"+path), &found)
		return found, err
	}
	cmd.AddCommand(
		resourceCreate[V](c, kind, path, example), resourceDelete(c, kind, path),
		&cobra.Command{
			Use: "list", Short: "List all " + path, Args: cobra.NoArgs, Example: "  rattanwall " + kind + " list",
			RunE: func(cmd *cobra.Command, _ []string) error {
				found, err := listAll(cmd)
				if err != nil {
					return err
				}
				return c.print(cmd, found, func() {
					t := newTable(cmd.OutOrStdout(), columns...)
					for name, v := range found {
						t.row(row(name, v)...)
					}
					t.flush()
				})
			},
		},
		&cobra.Command{
			Use: "get NAME", Short: "Print one " + kind, Args: cobra.ExactArgs(1), Example: "  rattanwall " + kind + " get orders",
			RunE: func(cmd *cobra.Command, args []string) error {
				found, err := listAll(cmd)
				if err != nil {
					return err
				}
				v, ok := found[args[0]]
				if !ok {
					return fmt.Errorf("no %s %q; see 'rattanwall %s list'", kind, args[0], kind)
				}
				return c.print(cmd, v, nil)
			},
		})
	return cmd
}

func resourceCreate[V any](c *client, kind, path, example string) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:     "create NAME",
		Short:   "Create or replace a " + kind + " from JSON with comments",
		Example: example,
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			raw, err := readJSON(file, cmd.InOrStdin())
			if err != nil {
				return err
			}
			return c.sendChange(cmd, c.newRequest().Put("/v1/"+path+"/"+args[0]).BodyJSON(raw))
		},
	}
	cmd.Flags().StringVar(&file, "file", "-", "file; - for standard input")
	return cmd
}

func resourceDelete(c *client, kind, path string) *cobra.Command {
	return &cobra.Command{
		Use: "delete NAME", Short: "Delete a " + kind, Args: cobra.ExactArgs(1), Example: "  rattanwall " + kind + " delete orders",
		RunE: func(cmd *cobra.Command, args []string) error {
			return c.sendChange(cmd, c.newRequest().Delete("/v1/"+path+"/"+args[0]))
		},
	}
}

// sendChange sends a request that creates a configuration version, and prints the
// version.
func (c *client) sendChange(cmd *cobra.Command, s *sling.Sling) error {
	var result admin.PatchResponse
	if err := c.do(cmd.Context(), s.Set("Idempotency-Key", uuid.NewString()), &result); err != nil {
		return err
	}
	return c.print(cmd, result, func() { cmd.Printf("version %d\n", result.Version) })
}

func newService() *cobra.Command {
	return newResourceCommand("service", "services",
		`  echo '{"team":"counter","timeout_ms":2000}' | rattanwall service create orders`,
		[]string{"NAME", "TEAM", "ZONES", "TIMEOUT MS", "OBJECTIVE MS"},
		func(name string, s config.Service) []any {
			return []any{name, s.Team, s.Zones, s.Timeout(), s.ObjectiveMS}
		})
}

func newWatch() *cobra.Command {
	return newResourceCommand("watch", "watches",
		`  echo '{"team":"counter","service":"orders","path":"/watch"}' | rattanwall watch create oak`,
		[]string{"NAME", "TEAM", "SERVICE", "PATH"},
		func(name string, w config.Watch) []any { return []any{name, w.Team, w.Service, w.Path} })
}
