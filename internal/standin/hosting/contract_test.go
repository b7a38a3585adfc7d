package hosting

import (
	"testing"
	"testing/synctest"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/fakenet"
	"github.com/rattanwall/rattanwall/internal/hosting"
	"github.com/rattanwall/rattanwall/internal/hosting/hostingtest"
	"github.com/rattanwall/rattanwall/internal/hosting/httphosting"
	"github.com/rattanwall/rattanwall/internal/model"
	"github.com/rattanwall/rattanwall/internal/standin/record"
)

var listedVM = model.VM{Name: "a", Zone: "east", Rack: "r", State: model.VMLive, Capacity: model.Resources{MilliCPU: 1}}

func TestStandinContract(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(&record.Recorder{})
		p.SetVM(listedVM)
		hostingtest.Store(t, Direct{p})
		hostingtest.VMList(t, Direct{p}, []model.VM{listedVM})
	})
}

func TestAdapterContract(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := fakenet.New()
		p := New(&record.Recorder{})
		p.SetVM(listedVM)
		l, err := p.Listen(net.Host("10.0.0.1"), "10.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		client := httphosting.New(net.Host("10.0.0.2"), l.Address())
		defer client.Close()
		hostingtest.Store(t, client)
		hostingtest.VMList(t, client, []model.VM{listedVM})
	})
}

// Guards against reporting a write that took effect as refused, so that the caller
// repeats it. Both a lost response to an applied write and an unavailable store,
// which applies nothing, look like a failed call.
func TestAdapterDistinguishesLostAnswersFromRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		net := fakenet.New()
		p := New(&record.Recorder{})
		l, err := p.Listen(net.Host("10.0.0.1"), "10.0.0.1:0")
		require.NoError(t, err)
		defer l.Close()
		client := httphosting.New(net.Host("10.0.0.2"), l.Address())
		defer client.Close()

		l.SetFaults(Faults{LoseAnswers: 1})
		_, err = client.Put(t.Context(), "k", []byte("1"), 0, "")
		require.True(t, errors.Is(err, hosting.ErrUnknown))
		e, err := client.Get(t.Context(), "k")
		require.NoError(t, err)
		require.Equal(t, "1", string(e.Value))

		l.SetFaults(Faults{Down: true})
		_, err = client.Put(t.Context(), "k", []byte("2"), e.Revision, "")
		require.ErrorIs(t, err, hosting.ErrUnavailable)
		l.SetFaults(Faults{})
		e, err = client.Get(t.Context(), "k")
		require.NoError(t, err)
		require.Equal(t, "1", string(e.Value))
	})
}
