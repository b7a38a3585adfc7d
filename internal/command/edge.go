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
	"github.com/rattanwall/rattanwall/platform"
)

func newEdge() *cobra.Command {
	var path string
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
			log := eventlog.New(os.Stdout, logrus.InfoLevel)
			ctx, stop := signal.NotifyContext(cmd.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			go recheckSettings(ctx, notifySIGHUP(), path, log)
			return edge.New(s.Settings, s.Connect(log), log).Run(ctx)
		},
	}
	cmd.Flags().StringVar(&path, "settings", platform.SettingsPath(), "the platform's settings file")
	cmd.Flags().IntVar(&directVMs, "direct-vms", relay.DirectVMs, "up to how many VMs a leader serves itself; orders to more go through other processes")
	cmd.Flags().IntVar(&metricsPort, "metrics-port", 0, "one more port of the VM that serves /metrics, where it can be had; 0 for none")
	return cmd
}

// withPort is another port at the host of address; "" for port 0.
func withPort(address string, port int) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil || port <= 0 {
		return ""
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}

// notifySIGHUP receives SIGHUP for the life of the process. Its default would end
// the process, also in the middle of a planned stop, and cut off what it answers.
func notifySIGHUP() <-chan os.Signal {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	return hup
}

// recheckSettings checks the settings again at each SIGHUP. Addresses and bounds stay for
// the life of a process; faults are told.
func recheckSettings(ctx context.Context, hup <-chan os.Signal, path string, log *eventlog.Log) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		if _, err := platform.LoadSettings(path); err != nil {
			log.Warn("settings_refused", err, eventlog.Fields{"file": path})
			continue
		}
		log.Event("settings_read", eventlog.Fields{"file": path})
	}
}
