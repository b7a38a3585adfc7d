package command

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/rattanwall/rattanwall/internal/trace"
)

func newTrace() *cobra.Command {
	c := &client{}
	cmd := &cobra.Command{
		Use:   "trace ID [LOG...]",
		Short: "Tell the story of a job, task or VM from the processes' logs",
		Long: `Tell the story of a job, task or VM from the logs of all processes, each a file
named after its process, or from standard input: every line that names it, in order
of time, and between them changes of the leader and what was believed of its VMs.
A run's line names the leader that started it. If a later run of a task was
started although an earlier one was done, or was yet to be, its runs follow, with who
started each, where, and what became of it.
Exit code 1 if no line names it.`,
		Example: "  rattanwall trace 06ad7a5cb3084c11 logs/*.log\n  rattanwall trace i-84ff6df95b --json < edge.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			story := trace.Timeline(lines, args[0])
			if len(story) == 0 {
				return fmt.Errorf("%w: no line names %s", errFailed, args[0])
			}
			return c.print(cmd, story, func() {
				printTimeline(cmd.OutOrStdout(), story)
				printRepeatedRuns(cmd.OutOrStdout(), story)
			})
		},
	}
	cmd.Flags().BoolVar(&c.asJSON, "json", false, "print JSON for programs")
	return cmd
}

// readLogs reads the named log files, or standard input if none are named.
func readLogs(in io.Reader, paths []string) ([]trace.Line, error) {
	if len(paths) == 0 {
		return trace.Read(in, "-")
	}
	var all []trace.Line
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, err
		}
		lines, err := trace.Read(f, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)))
		_ = f.Close()
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func printTimeline(out io.Writer, lines []trace.Line) {
	t := newTable(out, "AT", "NODE", "EVENT", "")
	for i := range lines {
		line := &lines[i]
		var fields []string
		for _, key := range line.Keys() {
			fields = append(fields, fmt.Sprintf("%s=%v", key, line.Fields[key]))
		}
		if line.Fence != 0 {
			fields = append(fields, "run_fence="+strconv.FormatInt(line.Fence, 10))
		}
		if line.Leader != "" {
			fields = append(fields, "run_leader="+line.Leader)
		}
		t.row(fmt.Sprintf("+%.3f s", line.Time.Sub(lines[0].Time).Seconds()), line.Node, line.Event, strings.Join(fields, " "))
	}
	t.flush()
}

// printRepeatedRuns prints all runs of tasks that ran more than once.
func printRepeatedRuns(out io.Writer, lines []trace.Line) {
	runs := trace.RepeatedRuns(lines)
	if len(runs) == 0 {
		return
	}
	sinceStart := func(at time.Time) string { return fmt.Sprintf("+%.3f s", at.Sub(lines[0].Time).Seconds()) }
	_, _ = fmt.Fprintln(out, "\nRan more than once:")
	t := newTable(out, "TASK", "RUN", "FENCE", "LEADER", "VM", "STARTED", "WHAT WAS TOLD")
	for i := range runs {
		r := &runs[i]
		started := "?"
		if !r.Started.IsZero() {
			started = sinceStart(r.Started)
		}
		var outcomes []string
		for _, o := range r.Outcomes {
			outcomes = append(outcomes, strings.TrimSpace(fmt.Sprintf("%s %s %s %s", sinceStart(o.Time), o.Node, o.Event, o.Reason)))
		}
		t.row(r.Task, strconv.FormatInt(r.Number, 10), strconv.FormatInt(r.Fence, 10), r.Leader, r.VM, started, strings.Join(outcomes, "; "))
	}
	t.flush()
}
