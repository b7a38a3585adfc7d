package command

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"github.com/rattanwall/rattanwall/platform/platformtest"
)

// newDevPlatform returns the command that runs the processes of the users' platform
// against a stand-in of it.
func newDevPlatform() *cobra.Command {
	var o platformtest.DemoOptions
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Run a deployment on a stand-in of the users' platform, and check it",
		Long: `Run three edge processes, six VMs and a store, all on loopback in this process, with
jobs of two steps while leaders are killed and stopped, the store loses answers
and history, and VMs crash. Ends with the verdict; exit code 1 if a rule was
broken or an accepted job did not complete.`,
		Example: "  rattanwall dev platform --for 30s --seed 7",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			start := time.Now()
			o.Logf = func(format string, args ...any) {
				_, _ = fmt.Fprintf(os.Stderr, "%6.1f s  %s\n", time.Since(start).Seconds(), fmt.Sprintf(format, args...))
			}
			r, err := platformtest.Demo(ctx, o)
			if err != nil {
				return err
			}
			cmd.Print(r.String())
			if !r.OK() {
				return errFailed
			}
			return nil
		},
	}
	cmd.Flags().DurationVar(&o.Duration, "for", 20*time.Second, "how long jobs come")
	cmd.Flags().BoolVar(&o.Relays, "relays", false, "have each leader give its orders through the other processes, as in a large fleet")
	cmd.Flags().Uint64Var(&o.Seed, "seed", 1, "seed of load and mishaps")
	return cmd
}
