package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Some queues have a policy that allows only some VMs to run a step, and only an
// adviser knows which. It answers one question at a time, and the longer the more
// VMs are named; what it allows for a step does not change, but its tickets expire.

const (
	// maxAdviceVMs is how many VMs one question names: what a job's objective allows
	// for, and enough to find several good ones where one in five is.
	maxAdviceVMs = 30
	// adviceRetryInterval is the wait after a question that was not answered.
	adviceRetryInterval = 150 * time.Millisecond
	// ticketMargin is kept of a ticket's life for the start's way to the VM.
	ticketMargin = 300 * time.Millisecond
)

// ticket is the adviser's leave for one VM.
type ticket struct {
	text    string
	expires Time
	// born is the start of the VM that it was asked for.
	born int64
}

// advice is what is known of a step's VMs, by instance ID.
type advice struct {
	// pending is set while a question is under way; nextAskAt is when the next may be.
	pending   bool
	nextAskAt Time
	tickets   map[string]ticket
	// refused are the VMs that the adviser did not allow, with their starts.
	refused map[string]int64
	// asked are the starts of the VMs that are asked about.
	asked map[string]int64
}

// validTicket reports whether the VM may run the step now, and its ticket.
func (st *step) validTicket(now Time, v *vm) (string, bool) {
	if st.advice == nil {
		return "", false
	}
	t, ok := st.advice.tickets[v.inst.ID]
	return t.text, ok && now < t.expires && v.matchesBirth(t.born)
}

// needsAdvice reports whether the step's queue has an adviser.
func (s *Scheduler) needsAdvice(st *step) bool { return st.occ.job.advice != nil }

// askAdvice asks for VMs for a step that found none with a ticket.
func (s *Scheduler) askAdvice(now Time, st *step) {
	a := st.advice
	if a == nil {
		a = &advice{tickets: map[string]ticket{}, refused: map[string]int64{}}
		st.advice = a
	}
	if a.pending || now < a.nextAskAt {
		return
	}
	ids := s.adviceCandidates(now, st)
	a.asked = make(map[string]int64, len(ids))
	for _, id := range ids {
		a.asked[id] = s.vms[id].born
	}
	if len(ids) == 0 {
		a.nextAskAt = now + adviceRetryInterval
		return
	}
	a.pending = true
	s.orders = append(s.orders, Order{
		Kind: OrderAdvise, Task: batch.TaskID{Job: st.occ.job.spec.ID, Occurrence: st.occ.number, Step: st.index}, Candidates: ids,
	})
}

// adviceCandidates chooses the VMs to name: those known to be good first, then those
// with the most room that were not asked about.
func (s *Scheduler) adviceCandidates(now Time, st *step) []string {
	a := st.advice
	type candidate struct {
		id    string
		good  bool
		score float64
	}
	var list []candidate
	t := &st.tasks[0]
	for _, v := range s.vmList {
		born, refused := a.refused[v.inst.ID]
		if o := s.placementObstacle(now, v, t); (refused && v.matchesBirth(born)) || (o != obstacleNone && o != obstacleAdvice) {
			continue
		}
		old, known := a.tickets[v.inst.ID]
		good := known && v.matchesBirth(old.born)
		score, _ := s.score(now, v, st.spec)
		list = append(list, candidate{v.inst.ID, good, score})
	}
	slices.SortStableFunc(list, func(x, y candidate) int {
		if x.good != y.good {
			if x.good {
				return -1
			}
			return 1
		}
		return cmp.Compare(y.score, x.score)
	})
	ids := make([]string, 0, maxAdviceVMs)
	for i := range min(len(list), maxAdviceVMs) {
		ids = append(ids, list[i].id)
	}
	return ids
}

// Advised takes an answer over; ok is false when there was none. good maps the
// allowed instances to their tickets, which live for validFor from askedAt on.
func (s *Scheduler) Advised(now, askedAt Time, o Order, good map[string]string, validFor time.Duration, ok bool) {
	j := s.jobs[o.Task.Job]
	if j == nil || j.occs[o.Task.Occurrence] == nil || o.Task.Step >= len(j.occs[o.Task.Occurrence].steps) {
		return
	}
	a := j.occs[o.Task.Occurrence].steps[o.Task.Step].advice
	if a == nil {
		return
	}
	a.pending = false
	s.planNeeded = true
	if !ok {
		a.nextAskAt = now + adviceRetryInterval
		return
	}
	if len(good) == 0 {
		s.logf(Decision{Event: EventAdviceNone, Task: o.Task, Value: float64(len(o.Candidates)), Age: now - askedAt})
	}
	for _, id := range o.Candidates {
		if text, allowed := good[id]; allowed {
			a.tickets[id] = ticket{text: text, expires: askedAt + validFor - ticketMargin, born: a.asked[id]}
		} else {
			a.refused[id] = a.asked[id]
		}
	}
}

// dropTicket forgets a ticket that a VM did not take.
func (st *step) dropTicket(id string) {
	if st.advice != nil {
		delete(st.advice.tickets, id)
	}
}
