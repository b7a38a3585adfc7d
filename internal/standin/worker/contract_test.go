package worker

import (
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/fakenet"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/standin/record"
	"github.com/rattanwall/rattanwall/internal/target/httptarget"
	"github.com/rattanwall/rattanwall/internal/target/targettest"
	"github.com/rattanwall/rattanwall/internal/worker/httpworker"
	"github.com/rattanwall/rattanwall/internal/worker/workertest"
)

// startTestWorker starts a stand-in VM on a new fake network.
func startTestWorker(t *testing.T) (*Worker, *fakenet.Network) {
	net := fakenet.New()
	vm := model.VM{Name: "w", Capacity: model.Resources{MilliCPU: 32_000, Slots: 8, Connections: 64}}
	w, err := Start(vm, net.Host("10.0.0.1"), "10.0.0.1", &record.Recorder{})
	require.NoError(t, err)
	return w, net
}

func TestStandinAgentContract(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, _ := startTestWorker(t)
		defer w.Close()
		workertest.Agent(t, Direct{w})
	})
}

func TestAgentAdapterContract(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, net := startTestWorker(t)
		defer w.Close()
		client := httpworker.New(net.Host("10.0.0.2"), w.VM().AgentAddress)
		defer client.Close()
		workertest.Agent(t, client)
	})
}

func TestTargetAdapterContract(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, net := startTestWorker(t)
		defer w.Close()
		client := httptarget.New(net.Host("10.0.0.2"), w.VM().TargetAddress, 4)
		defer client.CloseIdle()
		targettest.Target(t, client, "/svc/work", func(origin string) []byte { return AnswerBody(origin, 100) })
	})
}
