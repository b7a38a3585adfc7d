package scheduler

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// The end of what runs on a VM is concluded from its lease, from another life of the VM
// that answers at its address, or from the machine service (lives.go). Its absence is no
// evidence: a VM that is cut off together with a leader is off the store's list and
// unheard like one that has died, and goes on running what that leader renews. Nor is
// another entry with its address: whoever writes entries may be wrong, and a new life
// answers at once.

// leaseExpiryMargin covers rounding and scheduling of the process when a lease is
// taken to be over.
const leaseExpiryMargin = 300 * time.Millisecond

// leaseExpiry is how long after its start a lease of the given length is certainly
// over: a VM's clock may be slow.
func leaseExpiryDelay(length time.Duration) time.Duration {
	return time.Duration(float64(length)/minClockRate) + leaseExpiryMargin
}

// TakeoverWait is how long after its election a leader has to wait for an instance that
// it does not hear, where an earlier one may have renewed leases for so long since. A VM
// that has started again may have taken an order of its for the longest lease that it grants.
func (s Settings) TakeoverWait(renewedSince time.Duration) time.Duration {
	return renewedSince + leaseExpiryDelay(s.MaxLease)
}

// drainingLease is the lease of an instance that leaves: what it held can be started
// again so soon after it has left, instead of maxLeaseDuration. Three holds fit in.
const drainingLease = 3 * time.Second

// leaseFor is how long a lease is taken for on v. The first one is a whole one: it
// outlasts what an earlier leader may have taken.
func (s Settings) leaseFor(v *vm) time.Duration {
	if v.inst.Draining && v.leaseUntil > 0 {
		return min(drainingLease, s.Lease())
	}
	return s.Lease()
}

// renew takes a lease from now on and returns its end on the instance's clock. A
// lease never gets shorter there. The clock was read at gotAt at the latest: counted
// from sentAt the lease would be longer by as much as the hold waited, and outlast
// what a successor waits.
func (v *vm) renew(now Time, length time.Duration) time.Duration {
	v.leaseUntil = max(v.leaseUntil, v.clock.value+(now-v.clock.gotAt)+length)
	over := v.clock.gotAt + leaseExpiryDelay(v.leaseUntil-v.clock.value)
	v.leaseExpiry = max(v.leaseExpiry, over)
	return v.leaseUntil
}

// DeposedAdmissionTimeout is how long a leader whose key is gone may go on taking new jobs
// up: it renews its lease each 0.35 s, and a renewal that reaches the store tells
// it within 0.4 s. Both leaders would start a job that comes in this time.
const DeposedAdmissionTimeout = 1500 * time.Millisecond

// AwaitInstances names the instances that earlier leaders may have given work to. Until
// each is heard, or its moment has passed, a task of a job that an earlier leader may
// have known is not started anywhere: it may run there. That is each job that is older
// than this leader, or comes before an earlier leader that still follows new jobs has
// certainly learned that it is one. Jobs that come later than that need not wait.
func (s *Scheduler) AwaitInstances(ids []string, until Time) {
	for _, id := range ids {
		if v := s.vms[id]; v == nil || !v.hasReported {
			s.awaitedVMs[id] = until
		}
	}
	s.planNeeded = true
}

// ConfirmLeadership notes that no other leader can have been elected before a moment: a renewal of
// the leader's key that was sent then has succeeded. What was given up until then may
// be started again. A leader that is cut off from the store must not conclude that a
// VM's lease is over: a successor may have heard the VM and renewed it, or have
// acknowledged what ended there.
func (s *Scheduler) ConfirmLeadership(at Time) {
	if at > s.leadConfirmedAt {
		s.leadConfirmedAt = at
		s.planNeeded = true
	}
}

// isStartable reports whether the task may be started as far as its earlier runs go.
func (s *Scheduler) isStartable(now Time, t *task) bool {
	return now >= t.notBefore && t.lostAt <= s.leadConfirmedAt && t.hasDurableCrashes() && !s.awaitsClassification(t)
}

// SetHandoverRevision notes a revision of the store that was read DeposedAdmissionTimeout after the election
// or later: an earlier leader takes up no job that was created after it.
func (s *Scheduler) SetHandoverRevision(revision int64) { s.newJobsRevision = revision }

// mayPredateTenure reports whether an earlier leader may have taken a job up that was created
// at a revision of the store. The time of day does not tell: clocks differ by seconds.
func (s *Scheduler) mayPredateTenure(created int64) bool {
	return s.newJobsRevision == 0 || created == 0 || created <= s.newJobsRevision
}

// ShortenWaits shortens the wait for silent instances: all earlier leaders have told
// until when leases of theirs may last. What they do not name has none.
func (s *Scheduler) ShortenWaits(until map[string]Time) {
	for id, latest := range s.awaitedVMs {
		s.awaitedVMs[id] = min(latest, until[id])
	}
	s.planNeeded = true
}

// LeaseDeadlines returns when the leases on each instance are certainly over, be they this
// leader's or those of earlier ones that are waited for.
func (s *Scheduler) LeaseDeadlines() map[string]Time {
	over := make(map[string]Time, len(s.vms))
	for id, v := range s.vms {
		over[id] = s.vmLeaseExpiry(v)
	}
	for id, until := range s.awaitedVMs {
		over[id] = max(over[id], until)
	}
	return over
}

// maxExpiredLeases bounds what is kept of VMs that were forgotten: on an ordinary day some
// hundred are replaced.
const maxExpiredLeases = 1000

// ExpiredLease says that all leases on a VM were over at some moment.
type ExpiredLease struct {
	// Run is the highest number that a run had by then.
	Run int64 `json:"run"`
	// Born is the start of the VM that it holds for, 0 for any: no start was heard.
	Born int64 `json:"born,omitempty"`
}

// UnmarshalJSON implements json.Unmarshaler. A bare number is a run, for any start.
func (l *ExpiredLease) UnmarshalJSON(raw []byte) error {
	if err := json.Unmarshal(raw, &l.Run); err == nil {
		l.Born = 0
		return nil
	}
	type plain ExpiredLease
	return json.Unmarshal(raw, (*plain)(l))
}

// ExpiredLeases returns what is known of VMs whose leases were all over at some moment. A
// successor needs it to tell the ends that such a VM tells later from those of runs that
// count.
func (s *Scheduler) ExpiredLeases() map[string]ExpiredLease {
	all := maps.Clone(s.expiredLeases)
	for id, v := range s.vms {
		if v.maxExpiredRun > 0 {
			all[id] = ExpiredLease{Run: v.maxExpiredRun, Born: v.born}
		}
	}
	return all
}

// RestoreExpiredLeases takes over what an earlier leader returned from ExpiredLeases.
func (s *Scheduler) RestoreExpiredLeases(lapsed map[string]ExpiredLease) {
	for id, l := range lapsed {
		s.retainExpiredLease(id, l)
		if v := s.vms[id]; v != nil && v.hasReported {
			s.applyExpiredLease(v)
		}
	}
}

// applyExpiredLease takes what was kept of a VM that is heard. What was known of another start
// of it does not hold.
func (s *Scheduler) applyExpiredLease(v *vm) {
	l, kept := s.expiredLeases[v.inst.ID]
	if !kept {
		return
	}
	delete(s.expiredLeases, v.inst.ID)
	if v.matchesBirth(l.Born) {
		v.maxExpiredRun = max(v.maxExpiredRun, l.Run)
	}
}

// retainExpiredLease keeps the maxExpiredRun of an instance that is not known, or not heard, instead of
// the oldest one where there are too many.
func (s *Scheduler) retainExpiredLease(id string, l ExpiredLease) {
	s.expiredLeases[id] = l
	if len(s.expiredLeases) <= maxExpiredLeases {
		return
	}
	oldest := id
	for other, n := range s.expiredLeases {
		if n.Run < s.expiredLeases[oldest].Run || (n.Run == s.expiredLeases[oldest].Run && other < oldest) {
			oldest = other
		}
	}
	delete(s.expiredLeases, oldest)
}

// expireLeases counts what runs on v as ended: every lease there is over.
func (s *Scheduler) expireLeases(now Time, v *vm) {
	if v.expiredLeaseEnd != v.leaseExpiry {
		// Nothing can have begun there since.
		v.expiredLeaseEnd, v.maxExpiredRun = v.leaseExpiry, s.nextRun
		s.recordRecentRuns(now, v)
		s.clearUnwanted(v)
	}
	for _, r := range v.runList {
		if now > s.runExpiry(r) {
			s.dropRun(now, r, "lease over")
		}
	}
}

// expireAwaited stops waiting for the instances of earlier leaders that have
// certainly ended what they ran.
func (s *Scheduler) expireAwaited(now Time) {
	var over []string
	for id, until := range s.awaitedVMs {
		if min(now, s.leadConfirmedAt) > until {
			over = append(over, id)
		}
	}
	slices.Sort(over)
	for _, id := range over {
		delete(s.awaitedVMs, id)
		s.planNeeded, s.endedUnreported = true, true
		d := Decision{Event: EventVMWaitedOut, VM: id}
		if v := s.vms[id]; v != nil {
			v.maxExpiredRun = s.nextRun
			d = v.lifecycleDecision(now, EventVMWaitedOut, "")
		}
		s.logf(d)
		s.resolveInherited(now, id, crashUnconfirmed)
	}
}

// isAwaited reports whether an instance may still run what an earlier leader started.
func (s *Scheduler) isAwaited(id string) bool {
	_, ok := s.awaitedVMs[id]
	return ok
}

// unlistedRetention is how long an unlisted instance without runs is kept: entries
// that lapsed with the store are back about 2 s after its return.
const unlistedRetention = 10 * time.Second
