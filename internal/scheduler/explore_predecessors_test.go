package scheduler

import (
	"slices"
	"time"
)

// askEvery is the pause between questions to predecessors.
const askEvery = 400 * time.Millisecond

// pastAnswer is what the process of a tenure says.
type pastAnswer struct {
	left       map[string]time.Duration
	remembered bool
	crashes    []CrashReport
}

// askPast lets a leader ask its predecessors, as package leader does.
func (w *world) askPast(l *modelLeader) {
	if !w.faults.asks || w.now < l.askAt || l.asking || l.pruned {
		return
	}
	l.askAt = w.now + askEvery
	vms := l.s.AwaitedInstances()
	slices.Sort(vms)
	if len(vms) == 0 {
		w.prunePast(l)
		return
	}
	if l.knows {
		return
	}
	l.asking = true
	answers := map[*modelLeader]pastAnswer{}
	for _, p := range l.past {
		if a, ok := w.askOne(l, p, vms); ok {
			answers[p] = a
		}
	}
	w.after(w.travel(), func() {
		w.deliver(l, func() { w.hearPast(l, vms, answers) })
		l.asking = false
	})
}

// hearPast takes the answers over.
func (w *world) hearPast(l *modelLeader, vms []string, answers map[*modelLeader]pastAnswer) {
	remembered := int64(0)
	for _, p := range l.past {
		a, answered := answers[p]
		if !answered {
			continue
		}
		for _, id := range vms {
			l.said[id] = max(l.said[id], w.now+a.left[id])
		}
		l.s.AcceptCrashReports(w.now, a.crashes)
		if a.remembered {
			remembered = max(remembered, p.fence)
		}
	}
	l.past = slices.DeleteFunc(l.past, func(p *modelLeader) bool {
		_, answered := answers[p]
		return answered || p.fence < remembered
	})
	if len(l.past) == 0 {
		w.tracef("leader %d knows of its predecessors' leases", l.fence)
		l.s.ShortenWaits(l.said)
		l.knows = true
	}
}

// prunePast takes the earlier tenures off the record.
func (w *world) prunePast(l *modelLeader) {
	if w.reachesStore(l) && w.leads(l) {
		w.store.tenures = []*modelLeader{l}
		l.pruned = true
	}
}

// askOne is the side of the process that is asked.
func (w *world) askOne(l, p *modelLeader, vms []string) (pastAnswer, bool) {
	// One that is left alone with some VMs reaches no other process either.
	alone := w.faults.successions && w.now < p.storelessUntil
	apart := alone || (l.zone != p.zone && (w.now < w.zoneCut[l.zone] || w.now < w.zoneCut[p.zone]))
	switch {
	case apart, w.now < p.frozenUntil, !w.calm && w.chance(30), p.died && w.now < p.restartAt:
		return pastAnswer{}, false
	}
	a := pastAnswer{left: map[string]time.Duration{}}
	if p.died {
		for _, id := range vms {
			a.left[id] = max(0, p.s.settings.TakeoverWait(0)-(w.now-p.restartAt))
		}
		return a, true
	}
	if !w.breaks.hasty {
		p.ended = true
		p.closed = true
	}
	w.tracef("leader %d is asked by leader %d", p.fence, l.fence)
	if w.now < p.readyAt {
		for _, id := range vms {
			a.left[id] = max(0, p.s.settings.TakeoverWait(0)-w.now)
		}
		return a, true
	}
	a.remembered = true
	a.crashes = p.s.UnrecordedCrashes()
	over := p.s.LeaseDeadlines()
	for _, id := range vms {
		a.left[id] = max(0, over[id]-w.now)
	}
	return a, true
}
