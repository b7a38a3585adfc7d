package scheduler

import (
	"slices"
	"time"
)

// queryInterval is the pause between questions to predecessors.
const queryInterval = 400 * time.Millisecond

// predecessorReply is what the process of a tenure says.
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
	answers := map[*modelLeader]predecessorReply{}
	for _, p := range l.predecessors {
		if a, ok := w.queryPredecessor(l, p, vms); ok {
			answers[p] = a
		}
	}
	w.after(w.messageDelay(), func() {
		w.deliver(l, func() { w.applyReplies(l, vms, answers) })
		l.queryPending = false
	})
}

// applyReplies takes the answers over.
func (w *world) applyReplies(l *modelLeader, vms []string, answers map[*modelLeader]predecessorReply) {
	remembered := int64(0)
	for _, p := range l.predecessors {
		a, answered := answers[p]
		if !answered {
			continue
		}
		for _, id := range vms {
			l.leaseEnds[id] = max(l.leaseEnds[id], w.now+a.leaseLeft[id])
		}
		l.s.AcceptCrashReports(w.now, a.crashes)
		if a.leasesKnown {
			remembered = max(remembered, p.fence)
		}
	}
	l.predecessors = slices.DeleteFunc(l.predecessors, func(p *modelLeader) bool {
		_, answered := answers[p]
		return answered || p.fence < remembered
	})
	if len(l.predecessors) == 0 {
		w.tracef("leader %d knows of its predecessors' leases", l.fence)
		l.s.ShortenWaits(l.leaseEnds)
		l.leasesKnown = true
	}
}

// pruneTenures takes the earlier tenures off the record.
func (w *world) pruneTenures(l *modelLeader) {
	if w.reachesStore(l) && w.holdsKey(l) {
		w.store.tenures = []*modelLeader{l}
		l.tenuresPruned = true
	}
}

// queryPredecessor is the side of the process that is asked.
func (w *world) queryPredecessor(l, p *modelLeader, vms []string) (predecessorReply, bool) {
	// One that is left alone with some VMs reaches no other process either.
	alone := w.faults.quickSuccessions && w.now < p.storelessUntil
	apart := alone || (l.zone != p.zone && (w.now < w.zoneCut[l.zone] || w.now < w.zoneCut[p.zone]))
	switch {
	case apart, w.now < p.frozenUntil, !w.faultFree && w.chance(30), p.died && w.now < p.restartAt:
		return predecessorReply{}, false
	}
	a := predecessorReply{leaseLeft: map[string]time.Duration{}}
	if p.died {
		for _, id := range vms {
			a.leaseLeft[id] = max(0, p.s.settings.TakeoverWait(0)-(w.now-p.restartAt))
		}
		return a, true
	}
	if !w.mutations.keepPredecessorActive {
		p.ended = true
		p.leasesReported = true
	}
	w.tracef("leader %d is asked by leader %d", p.fence, l.fence)
	if w.now < p.readyAt {
		for _, id := range vms {
			a.leaseLeft[id] = max(0, p.s.settings.TakeoverWait(0)-w.now)
		}
		return a, true
	}
	a.leasesKnown = true
	a.crashes = p.s.UnrecordedCrashes()
	over := p.s.LeaseDeadlines()
	for _, id := range vms {
		a.leaseLeft[id] = max(0, over[id]-w.now)
	}
	return a, true
}
