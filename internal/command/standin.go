package command

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/dghubble/sling"
	"github.com/spf13/cobra"

	"github.com/rattanwall/rattanwall/internal/deployment"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/netio"
	"github.com/rattanwall/rattanwall/internal/standin/hosting"
	"github.com/rattanwall/rattanwall/internal/standin/record"
	"github.com/rattanwall/rattanwall/internal/standin/worker"
)

func newStandin() *cobra.Command {
	cmd := &cobra.Command{
		Use:   "standin",
		Short: "Run a stand-in for the platform or its workers, for failure runs",
		Long: `Run a stand-in for the platform or for workers as a process of its own. Faults
are switched by HTTP: PUT /faults at the platform's or an agent's address (down,
slow, answers lost, watch silent, usage late, tasks fail), POST /silence at an
agent's, PUT /vm at the platform's with a VM whose state is "leaving". GET
/record tells what really happened.`,
	}
	cmd.AddCommand(standinPlatform(), standinWorker())
	return cmd
}

func waitForSignal(ctx context.Context) {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	<-ctx.Done()
}

func standinPlatform() *cobra.Command {
	var listen []string
	var recordFile string
	cmd := &cobra.Command{
		Use:     "platform",
		Short:   "Serve the key-value service and the list of VMs",
		Example: "  rattanwall standin platform --listen 127.0.0.1:7000 --listen 127.0.0.1:7001",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			recorder, err := openRecorder(recordFile)
			if err != nil {
				return err
			}
			p := hosting.New(recorder)
			for _, address := range listen {
				listener, err := p.Listen(netio.TCP{}, address)
				if err != nil {
					return err
				}
				defer listener.Close()
				cmd.Printf("platform at %s\n", listener.Address())
			}
			waitForSignal(cmd.Context())
			return nil
		},
	}
	cmd.Flags().StringVar(&recordFile, "record", "", "file to append the record to")
	cmd.Flags().StringArrayVar(&listen, "listen", []string{"127.0.0.1:7000"}, "ip:port; repeat for listeners with faults of their own")
	return cmd
}

func standinWorker() *cobra.Command {
	var name, zone, platformAddress, host, recordFile string
	cmd := &cobra.Command{
		Use:     "worker",
		Short:   "Serve the agents and targets of an availability zone's VMs",
		Example: "  rattanwall standin worker --deployment thessaly --zone volos --platform 127.0.0.1:7000",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			shape, ok := deployment.Shapes()[name]
			if !ok {
				return fmt.Errorf("--deployment: use one of %v", deploymentNames())
			}
			recorder, err := openRecorder(recordFile)
			if err != nil {
				return err
			}
			for _, vm := range shape.VMs() {
				if zone != "" && vm.Zone != zone {
					continue
				}
				w, err := worker.Start(vm, netio.TCP{}, host, recorder)
				if err != nil {
					return err
				}
				defer w.Close()
				if err := registerVM(cmd.Context(), platformAddress, w.VM()); err != nil {
					return err
				}
				cmd.Printf("%s agent %s target %s\n", vm.Name, w.VM().AgentAddress, w.VM().TargetAddress)
			}
			waitForSignal(cmd.Context())
			return nil
		},
	}
	cmd.Flags().StringVar(&recordFile, "record", "", "file to append the record to")
	cmd.Flags().StringVar(&name, "deployment", "cofnod-criw", "shape whose VMs to serve")
	cmd.Flags().StringVar(&zone, "zone", "", "availability zone; all if not given")
	cmd.Flags().StringVar(&platformAddress, "platform", "127.0.0.1:7000", "ip:port of the stand-in platform to be listed at")
	cmd.Flags().StringVar(&host, "host", "127.0.0.1", "IP number to serve at")
	return cmd
}

// openRecorder returns a recorder that also appends to a file, if one is named.
func openRecorder(file string) (*record.Recorder, error) {
	if file == "" {
		return &record.Recorder{}, nil
	}
	f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &record.Recorder{Sink: f}, nil
}

// registerVM adds a VM to the stand-in platform's list.
func registerVM(ctx context.Context, address string, vm model.VM) error {
	s := sling.New().Base("http://" + address).Put("/vm").BodyJSON(vm)
	req, err := s.Request()
	if err != nil {
		return err
	}
	resp, err := s.Do(req.WithContext(ctx), nil, nil)
	if err != nil && resp == nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("the stand-in platform answered %s", resp.Status)
	}
	return nil
}
