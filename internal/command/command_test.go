package command

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/spf13/cobra"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/errkind"
)

// Each command has a description and an example of its use.
func TestEachCommandHasHelp(t *testing.T) {
	commands := 0
	var walk func(c *cobra.Command)
	walk = func(c *cobra.Command) {
		for _, sub := range c.Commands() {
			walk(sub)
		}
		if c.HasSubCommands() {
			return
		}
		commands++
		require.NotEmpty(t, c.Short, c.CommandPath())
		require.Contains(t, c.Example, c.CommandPath(), c.CommandPath())
	}
	walk(newRoot())
	require.Greater(t, commands, 25)
}

// Each kind of error ends the process with its documented exit code.
func TestExitCodes(t *testing.T) {
	for want, err := range map[int]error{
		exitOK: nil, exitFailed: errFailed, exitUnknown: errkind.New(errkind.StoreUnknown, "", nil),
		exitRetryable: errkind.New(errkind.StoreUnavailable, "", nil), exitUsage: errkind.New(errkind.Forbidden, "", nil),
	} {
		require.Equal(t, want, exitCode(err))
	}
	require.Equal(t, exitUsage, exitCode(errors.New("wrong flag")))
}

// A command that calls a node without an address names the flag and variable that give
// it.
func TestMissingAddressIsNamed(t *testing.T) {
	t.Setenv(envAdmin, "")
	root := newRoot()
	var out strings.Builder
	root.SetOut(&out)
	root.SetArgs([]string{"status"})
	require.ErrorContains(t, root.Execute(), "--admin or $"+envAdmin)
}

// The help must not show the credential held by the environment, as it did when the
// credential was the default of a flag.
func TestHelpShowsNoCredential(t *testing.T) {
	const secret = "credential-of-the-test"
	t.Setenv(envToken, secret)
	var walk func(c *cobra.Command)
	walk = func(c *cobra.Command) {
		require.NotContains(t, c.UsageString(), secret, c.CommandPath())
		for _, sub := range c.Commands() {
			walk(sub)
		}
	}
	walk(newRoot())
}

// A misspelled command must fail, so that a script that uses it does not continue.
func TestUnknownCommandsAreRejected(t *testing.T) {
	for _, args := range [][]string{{"job", "crate"}, {"config", "x"}, {"nonsense"}, {"vm", "x", "y"}} {
		root := newRoot()
		root.SetOut(io.Discard)
		root.SetArgs(args)
		require.ErrorContains(t, root.Execute(), "unknown", args)
	}
	root := newRoot()
	root.SetOut(io.Discard)
	root.SetArgs([]string{"job"})
	require.NoError(t, root.Execute())
}
