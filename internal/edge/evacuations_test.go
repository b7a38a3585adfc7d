package edge

import (
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/scheduling"
)

// decodeZone decodes items whose key is "zone/" and a zone; the value "?" can't be decoded.
func decodeZone(item durable.Item) (string, bool, error) {
	zone, ok := strings.CutPrefix(item.Key, "zone/")
	if ok && !item.Deleted && string(item.Value) == "?" {
		return zone, true, errors.New("not an evacuation")
	}
	return zone, ok, nil
}

func newTestEvacuations() *evacuations {
	return newEvacuations(decodeZone, []string{"a", "b"}, quietLog())
}

func zoneItem(zone string, revision int64) durable.Item {
	return durable.Item{Key: "zone/" + zone, Value: []byte("{}"), Revision: revision}
}

func (e *evacuations) zoneNames() []string {
	zones := []string{}
	for _, z := range e.inForce.Load().Zones {
		zones = append(zones, z.Zone)
	}
	return zones
}

// A change of one zone leaves the others; a read of all requests ends those that are missing.
func TestEvacuationsFollowTheStore(t *testing.T) {
	e := newTestEvacuations()
	e.applyItems([]durable.Item{zoneItem("b", 3)}, 3, false)
	e.applyItems([]durable.Item{zoneItem("a", 4), {Key: "other", Revision: 5}}, 5, false)
	require.Equal(t, []string{"a", "b"}, e.zoneNames())
	e.applyItems([]durable.Item{{Key: "zone/b", Revision: 6, Deleted: true}}, 6, false)
	require.Equal(t, []string{"a"}, e.zoneNames())
	e.applyItems([]durable.Item{zoneItem("b", 7)}, 9, true)
	require.Equal(t, []string{"b"}, e.zoneNames())
	e.applyItems([]durable.Item{zoneItem("b", 10)}, 10, false)
	require.Equal(t, int64(10), e.dump()[0].Revision, "the same zone requested again")
}

// A response that was overtaken neither reopens a zone nor evacuates it again.
func TestOlderEvacuationsAreNeverInstalled(t *testing.T) {
	e := newTestEvacuations()
	e.applyItems([]durable.Item{zoneItem("a", 8)}, 8, true)
	e.applyItems(nil, 7, true)
	e.install(&batch.Evacuations{Revision: 6}, "peer")
	require.Equal(t, []string{"a"}, e.zoneNames())
	e.install(&batch.Evacuations{Revision: 9}, "peer")
	require.Empty(t, e.zoneNames())
	e.applyItems([]durable.Item{zoneItem("a", 8)}, 8, true)
	require.Empty(t, e.zoneNames())
}

// A request that can't be decoded, or names an unknown zone, is counted once and changes no other
// zone.
func TestFaultyEvacuationsAreRejected(t *testing.T) {
	e := newTestEvacuations()
	faulty := durable.Item{Key: "zone/a", Value: []byte("?"), Revision: 4}
	e.applyItems([]durable.Item{zoneItem("a", 3)}, 3, true)
	for revision := int64(4); revision < 7; revision++ {
		e.applyItems([]durable.Item{faulty, {Key: "zone/b", Value: []byte("?"), Revision: 4}}, revision, true)
		require.Equal(t, []string{"a"}, e.zoneNames())
	}
	require.EqualValues(t, 2, e.rejected.Load())
	e.applyItems([]durable.Item{zoneItem("z", 8)}, 8, false)
	require.Equal(t, []string{"a", "z"}, e.zoneNames())
	require.EqualValues(t, 3, e.rejected.Load())
}

// A peer is told the evacuations, also that there are none any more, unless it knows them.
func TestPeersAreToldEvacuations(t *testing.T) {
	teller, listener := newTestEvacuations(), newTestEvacuations()
	tell := func() {
		var resp scheduling.ConfigResponse
		teller.addTo(&resp, &scheduling.ConfigRequest{EvacuationsRevision: listener.inForce.Load().Revision})
		listener.install(evacuationsOf(&resp), "peer")
	}
	teller.applyItems([]durable.Item{zoneItem("a", 3)}, 3, true)
	tell()
	require.Equal(t, []string{"a"}, listener.zoneNames())
	tell()
	require.Equal(t, []string{"a"}, listener.zoneNames())
	teller.applyItems(nil, 4, true)
	tell()
	require.Empty(t, listener.zoneNames())
	require.Equal(t, int64(4), listener.inForce.Load().Revision)
}
