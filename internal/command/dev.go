package command

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/rattanwall/rattanwall/internal/deployment"
	"github.com/rattanwall/rattanwall/internal/dev"
	"github.com/rattanwall/rattanwall/internal/load"
	"github.com/rattanwall/rattanwall/internal/model"
)

func newDev() *cobra.Command {
	var name, level string
	var duration time.Duration
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "dev",
		Short: "Run a whole deployment on loopback, with load and mishaps, and check it",
		Long: `Run a stand-in platform, stand-in workers and nine nodes in this process, with a
sample load of quick requests, batch jobs and standing watches, while VMs leave,
a node is replaced and connections go silent. Ends with what callers saw and the
verdict on the nine invariants; exit code 1 if one was broken.`,
		Example: "  rattanwall dev --for 30s\n  rattanwall dev --deployment thessaly --for 1m --json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			shape, ok := deployment.Shapes()[name]
			if !ok {
				return fmt.Errorf("--deployment: use %s", strings.Join(deploymentNames(), " or "))
			}
			log, err := newLogger(level, "text")
			if err != nil {
				return err
			}
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			o := dev.Options{Shape: shape, Duration: duration, Log: log, Printf: progressPrinter(asJSON)}
			if !asJSON && isTerminal(os.Stderr) {
				o.Progress = showProgress
			}
			return runDev(ctx, cmd, o, asJSON)
		},
	}
	cmd.Flags().StringVar(&name, "deployment", "cofnod-criw", "shape: "+strings.Join(deploymentNames(), " or "))
	cmd.Flags().DurationVar(&duration, "for", 30*time.Second, "how long the load lasts")
	cmd.Flags().BoolVar(&asJSON, "json", false, "print the report as JSON")
	cmd.AddCommand(newDevPlatform())
	cmd.Flags().StringVar(&level, "log", "error", "log level of the nodes: debug, info, warning, error")
	return cmd
}

func deploymentNames() []string {
	var names []string
	for n := range deployment.Shapes() {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

func progressPrinter(asJSON bool) func(string, ...any) {
	return func(format string, args ...any) {
		if !asJSON {
			_, _ = fmt.Fprintf(os.Stderr, format+"\n", args...)
		}
	}
}

func isTerminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func showProgress(elapsed time.Duration, s load.Summary) {
	q := s.Classes[model.Quick]
	_, _ = fmt.Fprintf(os.Stderr, "\r%4.0fs  quick %d (p99 %.1f ms)  jobs %d of %d done  watch events %d   ",
		elapsed.Seconds(), q.Ran, q.P99, s.Jobs.Done, s.Jobs.Submitted, s.Watches.Events)
}

func runDev(ctx context.Context, cmd *cobra.Command, o dev.Options, asJSON bool) error {
	report, err := dev.Run(ctx, o)
	if err != nil {
		return err
	}
	if asJSON {
		enc := json.NewEncoder(cmd.OutOrStdout())
		enc.SetIndent("", "  ")
		if err := enc.Encode(report); err != nil {
			return err
		}
	} else {
		printReport(cmd, report)
	}
	if !report.OK() {
		return errFailed
	}
	return nil
}

func printReport(cmd *cobra.Command, r dev.Report) {
	out := cmd.OutOrStdout()
	_, _ = fmt.Fprintf(out, "\n%s, %.0f s of load\n\n", r.Deployment, r.Seconds)
	t := newTable(out, "CLASS", "RAN", "NOT RUN", "UNKNOWN", "P50 MS", "P99 MS", "P99.9 MS", "MAX MS")
	for _, class := range []model.Class{model.Quick, model.Heavy} {
		c := r.Load.Classes[class]
		t.row(class, c.Ran, c.NotRun, c.Unknown, formatMS(c.P50), formatMS(c.P99), formatMS(c.P999), formatMS(c.Max))
	}
	t.flush()
	j, w := r.Load.Jobs, r.Load.Watches
	_, _ = fmt.Fprintf(out, "\nwatches: %d events, %d resumed, %d gaps\n", w.Events, w.Resumed, w.Gaps)
	_, _ = fmt.Fprintf(out, "jobs: %d submitted, %d done, %d left; %.1f tasks/s; turnaround p50 %.0f ms; %d evictions\n",
		j.Submitted, j.Done, r.JobsLeft, j.TasksPerSecond, j.TurnaroundP50, j.Evictions)
	_, _ = fmt.Fprintf(out, "store calls: %v\n\n", r.Calls)
	t = newTable(out, "INVARIANT", "CHECKED ON", "BROKEN", "")
	for _, i := range r.Invariants {
		t.row(i.ID, i.Checked, i.Broken, i.Title)
	}
	t.flush()
	for _, i := range r.Invariants {
		for _, e := range i.Examples {
			_, _ = fmt.Fprintf(out, "  %s %s\n", i.ID, e)
		}
	}
}

func formatMS(v float64) string { return fmt.Sprintf("%.1f", v) }
