package command

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

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
Exit code 1 if no line names it.`,
		Example: "  rattanwall trace 06ad7a5cb3084c11 logs/*.log\n  rattanwall trace i-84ff6df95b --json < edge.log",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			lines, err := readLogs(cmd.InOrStdin(), args[1:])
			if err != nil {
				return err
			}
			story := trace.Story(lines, args[0])
			if len(story) == 0 {
				return fmt.Errorf("%w: no line names %s", errFailed, args[0])
			}
			return c.show(cmd, story, func() { printStory(cmd.OutOrStdout(), story) })
		},
	}
	cmd.Flags().BoolVar(&c.asJSON, "json", false, "print JSON for programs")
	return cmd
}

// readLogs reads the named files, or standard input if there are none.
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

func printStory(out io.Writer, story []trace.Line) {
	t := newTable(out, "AT", "NODE", "EVENT", "")
	for i := range story {
		l := &story[i]
		var fields []string
		for _, key := range l.Keys() {
			fields = append(fields, fmt.Sprintf("%s=%v", key, l.Fields[key]))
		}
		t.row(fmt.Sprintf("+%.3f s", l.Time.Sub(story[0].Time).Seconds()), l.Node, l.Event, strings.Join(fields, " "))
	}
	t.flush()
}
