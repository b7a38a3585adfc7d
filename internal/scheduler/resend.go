package scheduler

// ShouldResendStart reports whether an ordered start is to be sent again: its run still
// counts, was not ordered to stop, and its VM has not restarted and is not in an evacuated
// zone. If so, it records now as the time of the start.
func (s *Scheduler) ShouldResendStart(now Time, o Order) bool {
	v := s.vms[o.Instance.ID]
	if v == nil || v.evacuated {
		return false
	}
	r := v.runs[o.Task]
	if r == nil || r.number != o.Run || r.state == stopping || o.Start.Fence != v.token {
		return false
	}
	r.startSentAt = now
	return true
}

// StopUnconfirmed reports whether the run of an ordered stop still occupies its VM and
// the VM has not confirmed the stop.
func (s *Scheduler) StopUnconfirmed(o Order) bool {
	v := s.vms[o.Instance.ID]
	if v == nil {
		return false
	}
	r := v.runs[o.Task]
	return r != nil && r.number == o.Run && r.state == stopping && r.stopConfirmedAt == 0
}
