package command

import (
	"encoding/json"
	"errors"

	"github.com/spf13/cobra"

	"github.com/rattanwall/rattanwall/internal/jobs"
)

func newJob() *cobra.Command {
	c := &client{}
	var team string
	cmd := &cobra.Command{Use: "job", Short: "Submit, show and cancel batch jobs"}
	c.addFlags(cmd)
	cmd.PersistentFlags().StringVar(&team, "team", "", "team that the jobs are of")
	path := func(rest string) (string, error) {
		if team == "" {
			return "", errors.New("give the team with --team")
		}
		return "/v1/teams/" + team + "/jobs" + rest, nil
	}
	cmd.AddCommand(jobCreate(c, path), jobList(c, path), jobGet(c, path), jobCancel(c, path, "cancel"), jobCancel(c, path, "delete"))
	return cmd
}

func jobCreate(c *client, path func(string) (string, error)) *cobra.Command {
	var file string
	cmd := &cobra.Command{
		Use:   "create",
		Short: "Submit a job from JSON with comments",
		Long: `Submit a job. Accepted means that it is recorded durably. When the outcome is
unknown (exit code 3), submit the same again: a job of the same id and content
is recognised.`,
		Example: `  echo '{"id":"night-1","tasks":20,"per_task":{"milli_cpu":2000},"duration_ms":60000}' |
      rattanwall job create --team training`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p, err := path("")
			if err != nil {
				return err
			}
			raw, err := readJSON(file, cmd.InOrStdin())
			if err != nil {
				return err
			}
			var result json.RawMessage
			if err := c.do(cmd.Context(), c.newRequest().Post(p).BodyJSON(raw), &result); err != nil {
				return err
			}
			return c.print(cmd, result, func() { cmd.Println("accepted") })
		},
	}
	cmd.Flags().StringVar(&file, "file", "-", "file; - for standard input")
	return cmd
}

func jobList(c *client, path func(string) (string, error)) *cobra.Command {
	return &cobra.Command{
		Use: "list", Short: "List a team's open and newest ended jobs", Args: cobra.NoArgs,
		Example: "  rattanwall job list --team training",
		RunE: func(cmd *cobra.Command, _ []string) error {
			p, err := path("")
			if err != nil {
				return err
			}
			var listing jobs.Listing
			if err := c.do(cmd.Context(), c.newRequest().Get(p), &listing); err != nil {
				return err
			}
			return c.print(cmd, listing, func() {
				t := newTable(cmd.OutOrStdout(), "ID", "STATE", "TASKS", "QUEUED", "PLACED", "DONE", "FAILED", "CANCELLED", "EVICTIONS")
				for _, j := range listing.Jobs {
					t.row(j.Spec.ID, jobState(j), j.Spec.Tasks, j.Counts["queued"], j.Counts["placed"],
						j.Counts["done"], j.Counts["failed"], j.Counts["cancelled"], j.Evictions)
				}
				t.flush()
			})
		},
	}
}

func jobState(j jobs.Info) string {
	switch {
	case j.Cancelled:
		return "cancelled"
	case j.EndedMS != 0:
		return "ended"
	}
	return "open"
}

func jobGet(c *client, path func(string) (string, error)) *cobra.Command {
	return &cobra.Command{
		Use: "get ID", Short: "Print a job with its tasks", Args: cobra.ExactArgs(1),
		Example: "  rattanwall job get night-1 --team training",
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := path("/" + args[0])
			if err != nil {
				return err
			}
			var info jobs.Info
			if err := c.do(cmd.Context(), c.newRequest().Get(p), &info); err != nil {
				return err
			}
			return c.print(cmd, info, func() {
				cmd.Printf("%s: %s, %d tasks\n", info.Spec.ID, jobState(info), info.Spec.Tasks)
				t := newTable(cmd.OutOrStdout(), "TASK", "STATE", "ATTEMPT", "VM", "CHECKPOINT", "FAILURES", "EVICTIONS")
				for _, task := range info.Tasks {
					t.row(task.Index, task.State, task.Attempt, task.VM, task.Checkpoint, task.Failures, task.Evictions)
				}
				t.flush()
			})
		},
	}
}

// jobCancel returns the cancel command, or its alias delete: the record of an ended
// job is removed automatically.
func jobCancel(c *client, path func(string) (string, error), verb string) *cobra.Command {
	return &cobra.Command{
		Use: verb + " ID", Short: "Cancel a job: what waits is dropped, what runs is stopped", Args: cobra.ExactArgs(1),
		Example: "  rattanwall job " + verb + " night-1 --team training",
		RunE: func(cmd *cobra.Command, args []string) error {
			p, err := path("/" + args[0] + "/cancel")
			if err != nil {
				return err
			}
			var result json.RawMessage
			if err := c.do(cmd.Context(), c.newRequest().Post(p), &result); err != nil {
				return err
			}
			return c.print(cmd, result, func() { cmd.Println("cancelled") })
		},
	}
}
