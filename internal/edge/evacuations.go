package edge

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
	"github.com/rattanwall/rattanwall/internal/durable"
	"github.com/rattanwall/rattanwall/internal/eventlog"
	"github.com/rattanwall/rattanwall/internal/steady"
)

// DecodeEvacuation returns the availability zone that an operator's item names; ok is false for
// items that do not request an evacuation. If err is set, the value can't be decoded, and zone
// is set if the key names one.
type DecodeEvacuation func(durable.Item) (zone string, ok bool, err error)

// evacuations holds the operator's evacuations as received from the store or from peers. They
// are confirmed by the same reads as the configuration.
type evacuations struct {
	decode DecodeEvacuation
	// zones are the deployment's availability zones.
	zones []string
	log   *eventlog.Log

	inForce atomic.Pointer[batch.Evacuations]
	// rejected counts the requests with an undecodable value or an unknown zone.
	rejected atomic.Int64

	mu sync.Mutex
	// since is when this process learned of each request in force, by zone.
	since map[string]time.Duration
	// rejectedRevisions holds the last rejected revision of each key, so that repeated reads
	// reject it once.
	rejectedRevisions map[string]int64
}

func newEvacuations(decode DecodeEvacuation, zones []string, log *eventlog.Log) *evacuations {
	e := &evacuations{decode: decode, zones: zones, log: log, since: map[string]time.Duration{}, rejectedRevisions: map[string]int64{}}
	e.inForce.Store(&batch.Evacuations{})
	return e
}

// applyItems applies items of the store up to a revision. If whole is set, they include all
// requests there are. A request that can't be decoded leaves its zone as it was.
func (e *evacuations) applyItems(items []durable.Item, revision int64, whole bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	current := e.inForce.Load()
	if revision < current.Revision {
		return
	}
	requests := map[string]batch.Evacuation{}
	if !whole {
		for _, z := range current.Zones {
			requests[z.Zone] = z
		}
	}
	for i := range items {
		zone, ok, err := e.decode(items[i])
		switch {
		case !ok:
		case items[i].Deleted:
			delete(requests, zone)
		case err != nil:
			e.reject(&items[i], zone, err.Error())
			if z, evacuated := current.Of(zone); evacuated {
				requests[zone] = z
			}
		default:
			if !slices.Contains(e.zones, zone) {
				e.reject(&items[i], zone, "the settings name no such zone")
			}
			requests[zone] = batch.Evacuation{Zone: zone, Revision: items[i].Revision}
		}
	}
	next := &batch.Evacuations{Revision: revision}
	for _, z := range requests {
		next.Zones = append(next.Zones, z)
	}
	slices.SortFunc(next.Zones, func(a, b batch.Evacuation) int { return cmp.Compare(a.Zone, b.Zone) })
	e.replace(next, sourceStore)
}

// install applies the evacuations that a peer reports, if they are newer.
func (e *evacuations) install(next *batch.Evacuations, source string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if next.Revision > e.inForce.Load().Revision {
		e.replace(next, source)
	}
}

// replace puts evacuations in force and logs the differences. The caller holds mu.
func (e *evacuations) replace(next *batch.Evacuations, source string) {
	begun, ended := next.Changes(e.inForce.Load())
	e.inForce.Store(next)
	for _, z := range begun {
		e.since[z.Zone] = steady.Now()
		e.log.Event("evacuation_requested", eventlog.Fields{"zone": z.Zone, "revision": z.Revision, "source": source})
	}
	for _, z := range ended {
		e.log.Event("evacuation_withdrawn", eventlog.Fields{
			"zone": z.Zone, "revision": next.Revision, "source": source, "lasted_ms": (steady.Now() - e.since[z.Zone]).Milliseconds(),
		})
		delete(e.since, z.Zone)
	}
}

// reject counts and logs a faulty request. The caller holds mu.
func (e *evacuations) reject(item *durable.Item, zone, reason string) {
	if e.rejectedRevisions[item.Key] == item.Revision {
		return
	}
	e.rejectedRevisions[item.Key] = item.Revision
	e.rejected.Add(1)
	e.log.Event("evacuation_rejected", eventlog.Fields{"key": item.Key, "zone": zone, "revision": item.Revision, "error": reason})
}

// EvacuationDump is an evacuation in force, for diagnosis.
type EvacuationDump struct {
	Zone     string `json:"zone"`
	Revision int64  `json:"revision"`
	// SinceMS is how long ago this process learned of the request.
	SinceMS int64 `json:"since_ms"`
}

// dump returns the evacuations in force.
func (e *evacuations) dump() []EvacuationDump {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []EvacuationDump
	for _, z := range e.inForce.Load().Zones {
		out = append(out, EvacuationDump{Zone: z.Zone, Revision: z.Revision, SinceMS: (steady.Now() - e.since[z.Zone]).Milliseconds()})
	}
	return out
}
