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

// Environment variables that replace flags.
const (
	envAdmin = "RATTANWALL_ADMIN"
	envToken = "RATTANWALL_TOKEN"
)

// clientTimeout limits one call of a command, excluding the time that a wait asks for.
const clientTimeout = 15 * time.Second

// client calls the administration API.
type client struct {
	address, token string
	asJSON         bool
	timeout        time.Duration
}

// addFlags adds the flags shared by all commands that call the API.
func (c *client) addFlags(cmd *cobra.Command) {
	cmd.PersistentFlags().StringVar(&c.address, "admin", "", "ip:port of any node's administration API; default $"+envAdmin)
	// The environment variable is not the flag's default, because --help prints
	// defaults.
	cmd.PersistentFlags().StringVar(&c.token, "token", "", "credential of a team or operator; better given as $"+envToken)
	cmd.PersistentFlags().BoolVar(&c.asJSON, "json", false, "print JSON for programs")
	c.timeout = clientTimeout
}

func (c *client) newRequest() *sling.Sling {
	c.address = cmp.Or(c.address, os.Getenv(envAdmin))
	c.token = cmp.Or(c.token, os.Getenv(envToken))
	return sling.New().Client(&http.Client{}).Base("http://"+c.address).Set("Authorization", "Bearer "+c.token)
}

// do sends a request and decodes its response. An error of the API keeps its kind.
func (c *client) do(ctx context.Context, s *sling.Sling, result any) error {
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
	var errBody admin.ErrorBody
	resp, err := s.Do(req.WithContext(ctx), result, &errBody)
	if resp == nil {
		return errkind.New(errkind.ConnectionLost, "the node did not answer; a change may have taken effect", err)
	}
	if errBody.Error != "" {
		message := errBody.Message
		if message == "" {
			message = errBody.Hint
		}
		return errkind.New(errBody.Error, message, nil)
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("the node answered %s", resp.Status)
	}
	return err
}

// print writes v as JSON, or calls printText unless JSON was requested. A nil
// printText always gives JSON.
func (c *client) print(cmd *cobra.Command, v any, printText func()) error {
	if !c.asJSON && printText != nil {
		printText()
		return nil
	}
	enc := json.NewEncoder(cmd.OutOrStdout())
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}
