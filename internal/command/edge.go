package command

import (
	"context"
	"net"
	"os"
	"os/signal"
	"strconv"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/rattanwall/rattanwall/internal/edge"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/relay"
	"github.com/rattanwall/rattanwall/internal/scheduler"
	"github.com/rattanwall/rattanwall/platform"
)

func newEdge() *cobra.Command {
	var path, policyPath string
	var metricsPort, directVMs int
	cmd := &cobra.Command{
		Use:     "edge",
		Short:   "Run the process of an entry VM on the users' platform",
		Long:    "Run the process of an entry VM on the users' platform until SIGTERM or SIGINT, which begin a planned stop.",
		Example: "  rattanwall edge --settings boot.conf",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s, err := platform.LoadSettings(path)
			if err != nil {
				return err
			}
			s.Metrics = withPort(s.Operations, metricsPort)
			s.DirectVMs = directVMs
			if policyPath != "" {
				policy, err := scheduler.LoadPolicy(policyPath)
				if err != nil {
					return err
				}
				s.Bounds.Policy = &policy
			}
			log := eventlog.New(os.Stdout, logrus.InfoLevel)
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			go recheckSettings(ctx, notifySIGHUP(), path, log)
			return edge.New(s.Settings, s.Connect(log), log).Run(ctx)
		},
	}
	cmd.Flags().StringVar(&path, "settings", platform.SettingsPath(), "the platform's settings file")
	cmd.Flags().StringVar(&policyPath, "policy", "", "a policy file: JSON with comments that changes fields of the default scheduling policy; empty for none")
	cmd.Flags().IntVar(&directVMs, "direct-vms", relay.DirectVMs, "up to how many VMs a leader serves itself; orders to more go through other processes")
	cmd.Flags().IntVar(&metricsPort, "metrics-port", 0, "one more port of the VM that serves /metrics, where it can be had; 0 for none")
	return cmd
}

// withPort returns address with another port, or "" if port is 0 or address is
// invalid.
func withPort(address string, port int) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil || port <= 0 {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// notifySIGHUP subscribes to SIGHUP for the lifetime of the process. By default the
// signal would end the process, even during a planned stop, and cut off requests in
// flight.
func notifySIGHUP() <-chan os.Signal {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}

// recheckSettings validates the settings file again at each SIGHUP and logs errors.
// Changed addresses and limits do not take effect until the process restarts.
func recheckSettings(ctx context.Context, hangups <-chan os.Signal, path string, log *eventlog.Log) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		if _, err := platform.LoadSettings(path); err != nil {
			log.Warn("settings_refused", err, eventlog.Fields{"file": path})
			continue
		}
		log.Event("settings_read", eventlog.Fields{"file": path})
	}
}
