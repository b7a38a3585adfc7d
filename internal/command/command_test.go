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

// Each verb tells what it does and shows how it is called.
func TestEachVerbHasHelp(t *testing.T) {
	verbs := 0
	var walk func(c *cobra.Command)
	walk = func(c *cobra.Command) {
		for _, sub := range c.Commands() {
			walk(sub)
		}
		if c.HasSubCommands() {
			return
		}
		verbs++
		require.NotEmpty(t, c.Short, c.CommandPath())
		require.Contains(t, c.Example, c.CommandPath(), c.CommandPath())
	}
	walk(newRoot())
	require.Greater(t, verbs, 25)
}

func TestExitCodes(t *testing.T) {
	for want, err := range map[int]error{
		exitOK: nil, exitFailed: errFailed, exitUnknown: errkind.New(errkind.StoreUnknown, "", nil),
		exitRetryable: errkind.New(errkind.StoreUnavailable, "", nil), exitUsage: errkind.New(errkind.Forbidden, "", nil),
	} {
		require.Equal(t, want, exitCode(err))
	}
	require.Equal(t, exitUsage, exitCode(errors.New("wrong flag")))
}

// A verb that calls a node says which address is missing.
func TestMissingAddressIsNamed(t *testing.T) {
	t.Setenv(envAdmin, "")
	root := newRoot()
	var out strings.Builder
	root.SetOut(&out)
	root.SetArgs([]string{"status"})
	require.ErrorContains(t, root.Execute(), "--admin or $"+envAdmin)
}

// Symptom: the help of a verb shows the credential that the environment holds.
// Cause: it was the default of a flag.
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

// Symptom: a script with a misspelt verb goes on as if it had worked.
func TestUnknownVerbsAreRefused(t *testing.T) {
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
