// Package command implements the command line, with one file per command. Exit codes:
// 0 success, 1 a check or an invariant failed, 2 usage error or request refused, 3
// outcome unknown, 4 not reachable or retry later.
package command

import (
	"errors"
	"fmt"
	"os"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/rattanwall/rattanwall/internal/errkind"
)

// Exit codes of the process.
const (
	exitOK        = 0
	exitFailed    = 1
	exitUsage     = 2
	exitUnknown   = 3
	exitRetryable = 4
)

// errFailed ends the process with exitFailed after the failure was printed.
var errFailed = errors.New("failed")

// Main runs the command line and returns the exit code.
func Main() int {
	root := newRoot()
	err := root.Execute()
	if err != nil && !errors.Is(err, errFailed) {
		_, _ = os.Stderr.WriteString("rattanwall: " + err.Error() + "\n")
	}
	return exitCode(err)
}

// exitCode returns the exit code for the result of a command.
func exitCode(err error) int {
	var apiErr *errkind.Error
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errFailed):
		return exitFailed
	case !errors.As(err, &apiErr):
		return exitUsage
	case apiErr.Answer().Outcome == errkind.Unknown:
		return exitUnknown
	case apiErr.Answer().Retryable:
		return exitRetryable
	}
	return exitUsage
}

func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:           "rattanwall",
		Short:         "A scheduler for colocated latency-critical and batch work",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	// Commands write their results to standard output; cobra's default is standard
	// error.
	root.SetOut(os.Stdout)
	root.SetErr(os.Stderr)
	root.AddCommand(newNode(), newEdge(), newDev(), newStandin(), newSettings(), newCapacity())
	root.AddCommand(newConfig(), newService(), newWatch(), newJob(), newTeam(), newVM(), newStatus(), newDump(), newTrace(), newExperiment())
	rejectUnknownVerbs(root)
	return root
}

// rejectUnknownVerbs makes commands that only have subcommands reject unknown
// arguments. By default cobra prints their help and succeeds, so that a script would
// continue.
func rejectUnknownVerbs(cmd *cobra.Command) {
	for _, sub := range cmd.Commands() {
		rejectUnknownVerbs(sub)
	}
	if cmd.Runnable() || !cmd.HasSubCommands() {
		return
	}
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		if len(args) == 0 {
			return cmd.Help()
		}
		return fmt.Errorf("unknown verb %q; see '%s --help'", args[0], cmd.CommandPath())
	}
}

// newLogger returns a logger that writes to standard error.
func newLogger(level, format string) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	parsed, err := logrus.ParseLevel(level)
	if err != nil {
		return nil, err
	}
	log.SetLevel(parsed)
	if format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log, nil
}
