package scheduler

// ShouldResendStart reports whether the run of a start that was ordered is to be: it counts, and
// was not ordered to stop, and its VM has not started again. The start is then given again, now.
func (s *Scheduler) ShouldResendStart(now Time, o Order) bool {
	v := s.vms[o.Instance.ID]
	if v == nil {
		return false
	}
	r := v.runs[o.Task]
	if r == nil || r.number != o.Run || r.state == stopping || o.Start.Fence != v.token {
		return false
	}
	r.startSentAt = now
	return true
}

// StopUnconfirmed reports whether the run of a stop that was ordered still counts, and its
// VM has not confirmed the stop.
func (s *Scheduler) StopUnconfirmed(o Order) bool {
	v := s.vms[o.Instance.ID]
	if v == nil {
		return false
	}
	r := v.runs[o.Task]
	return r != nil && r.number == o.Run && r.state == stopping && r.stopConfirmedAt == 0
}
