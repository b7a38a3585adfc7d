package scheduler

import (
	"cmp"
	"slices"
	"time"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// An external adviser decides which VMs may run the steps of some queues. It handles one
// request at a time, and a request takes longer the more VMs it names. The VMs that are
// allowed for a step do not change, but their tickets expire.

const (
	// maxAdviceVMs limits the VMs per request. A response for 30 VMs is fast enough for the
	// jobs' objectives, and finds several allowed VMs if one in five is.
	maxAdviceVMs = 30
	// adviceRetryInterval is the delay after a failed request, or if there is no VM to ask about.
	adviceRetryInterval = 150 * time.Millisecond
	// ticketMargin is subtracted from a ticket's validity to allow for the delivery of the start.
	ticketMargin = 300 * time.Millisecond
)

// ticket is the adviser's permission to run a step on one VM.
type ticket struct {
	text    string
	expires Time
	// born identifies the VM's incarnation for which it was requested.
	born int64
}

// advice holds the adviser's responses for a step. Its maps are keyed by instance ID.
type advice struct {
	// pending is set while a request is in progress; nextAskAt is the earliest time of the next.
	pending   bool
	nextAskAt Time
	tickets   map[string]ticket
	// refused are the VMs that the adviser did not allow, with their incarnations.
	refused map[string]int64
	// asked are the incarnations of the VMs in the last request.
	asked map[string]int64
}

// validTicket returns the VM's ticket for the step and whether it is valid now.
func (st *step) validTicket(now Time, v *vm) (string, bool) {
	if st.advice == nil {
		return "", false
	}
	t, ok := st.advice.tickets[v.inst.ID]
	return t.text, ok && now < t.expires && v.matchesBirth(t.born)
}

// needsAdvice reports whether the step's queue has an adviser.
func (s *Scheduler) needsAdvice(st *step) bool { return st.occ.job.advice != nil }

// askAdvice requests advice for a step without a usable VM that has a ticket.
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

// adviceCandidates chooses the VMs for a request: first those that had a ticket before,
// then those with the best score that the adviser has not refused.
func (s *Scheduler) adviceCandidates(now Time, st *step) []string {
	a := st.advice
	type candidate struct {
		id    string
		known bool
		score float64
	}
	var list []candidate
	t := &st.tasks[0]
	for _, v := range s.vmList {
		born, refused := a.refused[v.inst.ID]
		if o := s.placementObstacle(now, v, t); (refused && v.matchesBirth(born)) || (o != obstacleNone && o != obstacleAdvice) {
			continue
		}
		old, ok := a.tickets[v.inst.ID]
		known := ok && v.matchesBirth(old.born)
		score, _ := s.score(now, v, st.spec)
		list = append(list, candidate{v.inst.ID, known, score})
	}
	slices.SortStableFunc(list, func(x, y candidate) int {
		if x.known != y.known {
			if x.known {
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

// Advised processes the outcome of an advice request; ok is false if it failed. granted
// maps the allowed instances to their tickets, which are valid for validFor from askedAt.
func (s *Scheduler) Advised(now, askedAt Time, o Order, granted map[string]string, validFor time.Duration, ok bool) {
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
	if len(granted) == 0 {
		s.logf(Decision{Event: EventAdviceNone, Task: o.Task, Value: float64(len(o.Candidates)), Age: now - askedAt})
	}
	for _, id := range o.Candidates {
		if text, allowed := granted[id]; allowed {
			a.tickets[id] = ticket{text: text, expires: askedAt + validFor - ticketMargin, born: a.asked[id]}
		} else {
			a.refused[id] = a.asked[id]
		}
	}
}

// dropTicket removes a ticket that a VM refused.
func (st *step) dropTicket(id string) {
	if st.advice != nil {
		delete(st.advice.tickets, id)
	}
}
