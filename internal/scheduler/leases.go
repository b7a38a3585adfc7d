package scheduler

import (
	"encoding/json"
	"maps"
	"slices"
	"time"
)

// The end of the runs on a VM is concluded from its lease, from another incarnation that responds
// at its address, or from the machine service (see SetLiveInstances). Absence from the store's
// list is no evidence: a VM that is cut off together with a leader is unlisted and unreported
// like one that has died, yet it goes on running what that leader renews. Nor is another entry
// with its address: an entry's writer may be wrong, and a new incarnation responds at once.

// leaseExpiryMargin covers rounding and process scheduling when a lease is assumed to have
// expired.
const leaseExpiryMargin = 300 * time.Millisecond

// leaseExpiryDelay returns how long after its start a lease of the given length has certainly
// expired: a VM's clock may be slow.
func leaseExpiryDelay(length time.Duration) time.Duration {
	return time.Duration(float64(length)/minClockRate) + leaseExpiryMargin
}

// TakeoverWait returns how long after its election a leader has to wait for an unreported
// instance if an earlier leader may have renewed leases for renewedSince after that. A restarted
// VM may have granted that leader's order the longest lease that it grants.
func (s Settings) TakeoverWait(renewedSince time.Duration) time.Duration {
	return renewedSince + leaseExpiryDelay(s.MaxLease)
}

// drainingLease is the lease of a draining instance: its runs can be restarted this soon after it
// has left, instead of after a lease of full length. Three holds fit in.
const drainingLease = 3 * time.Second

// leaseFor returns the length of a lease on v. The first one is of full length, since it must
// outlast any lease that an earlier leader may have taken.
func (s Settings) leaseFor(v *vm) time.Duration {
	if v.inst.Draining && v.leaseUntil > 0 {
		return min(drainingLease, s.Lease())
	}
	return s.Lease()
}

// renew extends the lease from now and returns its end on the instance's clock. A lease never
// gets shorter there. The clock was read at gotAt at the latest: counted from sentAt, the lease
// would be longer by the hold's wait and outlast what a successor waits.
func (v *vm) renew(now Time, length time.Duration) time.Duration {
	v.leaseUntil = max(v.leaseUntil, v.clock.value+(now-v.clock.gotAt)+length)
	expiry := v.clock.gotAt + leaseExpiryDelay(v.leaseUntil-v.clock.value)
	v.leaseExpiry = max(v.leaseExpiry, expiry)
	return v.leaseUntil
}

// DeposedAdmissionTimeout bounds how long a leader whose key is gone may go on accepting new
// jobs: it renews its lease every 0.35 s, and a renewal that reaches the store returns within
// 0.4 s. A job that arrives in this time would be started by both leaders.
const DeposedAdmissionTimeout = 1500 * time.Millisecond

// AwaitInstances sets the instances to which earlier leaders may have given work. Until each has
// reported, or until has passed, a task of a job that an earlier leader may have accepted is not
// started anywhere, since it may run there. This applies to jobs older than this leader, and to
// jobs that arrive before an earlier leader that still accepts new jobs has certainly learned
// that it is deposed. Jobs that arrive later need not wait.
func (s *Scheduler) AwaitInstances(ids []string, until Time) {
	for _, id := range ids {
		if v := s.vms[id]; v == nil || !v.hasReported {
			s.awaitedVMs[id] = until
		}
	}
	s.planNeeded = true
}

// ConfirmLeadership records that no other leader can have been elected before the given moment: a
// renewal of the leader's key that was sent then has succeeded. Runs declared lost up to then may
// be restarted. A leader that is cut off from the store must not conclude that a VM's lease has
// expired: a successor may have reached the VM and renewed the lease, or acknowledged ends there.
func (s *Scheduler) ConfirmLeadership(at Time) {
	if at > s.leadConfirmedAt {
		s.leadConfirmedAt = at
		s.planNeeded = true
	}
}

// isStartable reports whether the task's earlier runs allow a start.
func (s *Scheduler) isStartable(now Time, t *task) bool {
	return now >= t.notBefore && t.lostAt <= s.leadConfirmedAt && t.hasDurableCrashes() && !s.awaitsClassification(t)
}

// SetHandoverRevision sets a revision of the store that was read DeposedAdmissionTimeout after
// the election or later: an earlier leader accepts no job created after it.
func (s *Scheduler) SetHandoverRevision(revision int64) { s.newJobsRevision = revision }

// mayPredateTenure reports whether an earlier leader may have accepted a job that was created at
// the given revision of the store. The time of day can't decide this: clocks differ by seconds.
func (s *Scheduler) mayPredateTenure(created int64) bool {
	return s.newJobsRevision == 0 || created == 0 || created <= s.newJobsRevision
}

// ShortenWaits shortens the wait for unreported instances: all earlier leaders have reported
// until when their leases may last. Instances missing from until have no lease.
func (s *Scheduler) ShortenWaits(until map[string]Time) {
	for id, deadline := range s.awaitedVMs {
		s.awaitedVMs[id] = min(deadline, until[id])
	}
	s.planNeeded = true
}

// LeaseDeadlines returns when the leases on each instance have certainly expired, both this
// leader's and those of earlier leaders that are awaited.
func (s *Scheduler) LeaseDeadlines() map[string]Time {
	deadlines := make(map[string]Time, len(s.vms))
	for id, v := range s.vms {
		deadlines[id] = s.vmLeaseExpiry(v)
	}
	for id, until := range s.awaitedVMs {
		deadlines[id] = max(deadlines[id], until)
	}
	return deadlines
}

// maxExpiredLeases bounds the records kept for VMs that were removed: on an ordinary day some
// hundred are replaced.
const maxExpiredLeases = 1000

// ExpiredLease records that all leases on a VM had expired at some moment.
type ExpiredLease struct {
	// Run is the highest run number assigned by then.
	Run int64 `json:"run"`
	// Born is the incarnation that it applies to; 0 for any, if no incarnation had reported.
	Born int64 `json:"born,omitempty"`
}

// UnmarshalJSON implements json.Unmarshaler. A bare number is a run, for any incarnation.
func (l *ExpiredLease) UnmarshalJSON(raw []byte) error {
	if err := json.Unmarshal(raw, &l.Run); err == nil {
		l.Born = 0
		return nil
	}
	type plain ExpiredLease
	return json.Unmarshal(raw, (*plain)(l))
}

// ExpiredLeases returns the VMs whose leases had all expired at some moment. A successor needs
// this to distinguish ends that such a VM reports later from those of counted runs.
func (s *Scheduler) ExpiredLeases() map[string]ExpiredLease {
	all := maps.Clone(s.expiredLeases)
	for id, v := range s.vms {
		if v.maxExpiredRun > 0 {
			all[id] = ExpiredLease{Run: v.maxExpiredRun, Born: v.born}
		}
	}
	return all
}

// RestoreExpiredLeases restores what an earlier leader returned from ExpiredLeases.
func (s *Scheduler) RestoreExpiredLeases(leases map[string]ExpiredLease) {
	for id, l := range leases {
		s.retainExpiredLease(id, l)
		if v := s.vms[id]; v != nil && v.hasReported {
			s.applyExpiredLease(v)
		}
	}
}

// applyExpiredLease applies the record kept for a VM that has reported, unless it belongs to
// another incarnation.
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

// retainExpiredLease keeps the record of an instance that is unknown or unreported. Beyond
// maxExpiredLeases it drops the oldest record.
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

// expireLeases treats the runs on v as ended, given that every lease there has expired.
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

// expireAwaited stops waiting for instances of earlier leaders whose runs have certainly ended.
func (s *Scheduler) expireAwaited(now Time) {
	var expired []string
	for id, until := range s.awaitedVMs {
		if min(now, s.leadConfirmedAt) > until {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
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

// isAwaited reports whether an instance may still run tasks that an earlier leader started.
func (s *Scheduler) isAwaited(id string) bool {
	_, ok := s.awaitedVMs[id]
	return ok
}

// unlistedRetention is how long an unlisted instance without runs is kept: entries that expired
// with the store are back about 2 s after its return.
const unlistedRetention = 10 * time.Second
