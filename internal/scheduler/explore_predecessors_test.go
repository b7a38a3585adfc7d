package scheduler

import (
	"slices"
	"time"
)

// queryInterval is the interval between queries to predecessors.
const queryInterval = 400 * time.Millisecond

// predecessorReply is the response of a predecessor's process. leaseLeft is the remaining lease of
// each VM.
type predecessorReply struct {
	leaseLeft   map[string]time.Duration
	leasesKnown bool
	crashes     []CrashReport
}

// queryPredecessors lets a leader ask its predecessors, as package leader does.
func (w *world) queryPredecessors(l *modelLeader) {
	if !w.faults.predecessorQueries || w.now < l.nextQuery || l.queryPending || l.tenuresPruned {
		return
	}
	l.nextQuery = w.now + queryInterval
	vms := l.s.AwaitedInstances()
	slices.Sort(vms)
	if len(vms) == 0 {
		w.pruneTenures(l)
		return
	}
	if l.leasesKnown {
		return
	}
	l.queryPending = true
	replies := map[*modelLeader]predecessorReply{}
	for _, p := range l.predecessors {
		if reply, ok := w.queryPredecessor(l, p, vms); ok {
			replies[p] = reply
		}
	}
	w.after(w.messageDelay(), func() {
		w.deliver(l, func() { w.applyReplies(l, vms, replies) })
		l.queryPending = false
	})
}

// applyReplies applies the replies of predecessors.
func (w *world) applyReplies(l *modelLeader, vms []string, replies map[*modelLeader]predecessorReply) {
	newestKnown := int64(0)
	for _, p := range l.predecessors {
		reply, answered := replies[p]
		if !answered {
			continue
		}
		for _, id := range vms {
			l.leaseEnds[id] = max(l.leaseEnds[id], w.now+reply.leaseLeft[id])
		}
		l.s.AcceptCrashReports(w.now, reply.crashes)
		if reply.leasesKnown {
			newestKnown = max(newestKnown, p.fence)
		}
	}
	l.predecessors = slices.DeleteFunc(l.predecessors, func(p *modelLeader) bool {
		_, answered := replies[p]
		return answered || p.fence < newestKnown
	})
	if len(l.predecessors) == 0 {
		w.tracef("leader %d has its predecessors' leases", l.fence)
		l.s.ShortenWaits(l.leaseEnds)
		l.leasesKnown = true
	}
}

// pruneTenures removes earlier tenures from the store.
func (w *world) pruneTenures(l *modelLeader) {
	if w.reachesStore(l) && w.holdsKey(l) {
		w.store.tenures = []*modelLeader{l}
		l.tenuresPruned = true
	}
}

// queryPredecessor returns the reply of predecessor p, or false if it does not respond.
func (w *world) queryPredecessor(l, p *modelLeader, vms []string) (predecessorReply, bool) {
	// A leader that is isolated with some VMs reaches no other process.
	isolated := w.faults.quickSuccessions && w.now < p.storelessUntil
	unreachable := isolated || (l.zone != p.zone && (w.now < w.zoneCut[l.zone] || w.now < w.zoneCut[p.zone]))
	switch {
	case unreachable, w.now < p.frozenUntil, !w.faultFree && w.chance(30), p.died && w.now < p.restartAt:
		return predecessorReply{}, false
	}
	reply := predecessorReply{leaseLeft: map[string]time.Duration{}}
	if p.died {
		for _, id := range vms {
			reply.leaseLeft[id] = max(0, p.s.settings.TakeoverWait(0)-(w.now-p.restartAt))
		}
		return reply, true
	}
	if !w.mutations.keepPredecessorActive {
		p.ended = true
		p.leasesReported = true
	}
	w.tracef("leader %d is queried by leader %d", p.fence, l.fence)
	if w.now < p.readyAt {
		for _, id := range vms {
			reply.leaseLeft[id] = max(0, p.s.settings.TakeoverWait(0)-w.now)
		}
		return reply, true
	}
	reply.leasesKnown = true
	reply.crashes = p.s.UnrecordedCrashes()
	deadlines := p.s.LeaseDeadlines()
	for _, id := range vms {
		reply.leaseLeft[id] = max(0, deadlines[id]-w.now)
	}
	return reply, true
}
