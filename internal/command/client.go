package command

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/dghubble/sling"
	"github.com/spf13/cobra"

	"github.com/rattanwall/rattanwall/internal/admin"
	"github.com/rattanwall/rattanwall/internal/errkind"
)

// The environment variables that stand in for flags.
const (
	envAdmin = "RATTANWALL_ADMIN"
	envToken = "RATTANWALL_TOKEN"
)

// clientTimeout bounds one call of a verb, a wait's own time excepted.
const clientTimeout = 15 * time.Second

// client calls the administration API.
type client struct {
	address, token string
	asJSON         bool
	timeout        time.Duration
}

// addFlags adds what each verb that calls the API has in common.
func (c *client) addFlags(cmd *cobra.Command) {
	cmd.PersistentFlags().StringVar(&c.address, "admin", "", "ip:port of any node's administration API; default $"+envAdmin)
	// The variable is no default of the flag: --help prints defaults.
	cmd.PersistentFlags().StringVar(&c.token, "token", "", "credential of a team or operator; better given as $"+envToken)
	cmd.PersistentFlags().BoolVar(&c.asJSON, "json", false, "print JSON for programs")
	c.timeout = clientTimeout
}

func (c *client) newRequest() *sling.Sling {
	c.address = cmp.Or(c.address, os.Getenv(envAdmin))
	c.token = cmp.Or(c.token, os.Getenv(envToken))
	return sling.New().Client(&http.Client{}).Base("http://"+c.address).Set("Authorization", "Bearer "+c.token)
}

// do makes a call and decodes its answer. An error of the API keeps its kind.
func (c *client) do(ctx context.Context, s *sling.Sling, answer any) error {
	if c.address == "" {
		return fmt.Errorf("give a node's administration address with --admin or $%s", envAdmin)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := s.Request()
	if err != nil {
		return err
	}
	req.GetBody = nil
	var failed admin.ErrorBody
	resp, err := s.Do(req.WithContext(ctx), answer, &failed)
	if resp == nil {
		return errkind.New(errkind.ConnectionLost, "the node did not answer; a change may have taken effect", err)
	}
	if failed.Error != "" {
		message := failed.Message
		if message == "" {
			message = failed.Hint
		}
		return errkind.New(failed.Error, message, nil)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("the node answered %s", resp.Status)
	}
	return err
}

// print prints v as JSON, or calls people for a table.
func (c *client) print(cmd *cobra.Command, v any, people func()) error {
	if !c.asJSON && people != nil {
		people()
		return nil
	}
	enc := json.NewEncoder(cmd.OutOrStdout())
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
