package runtimes

import "time"

// Evidence is what is known about a run that is slower than its siblings.
type Evidence struct {
	// SlowElsewhere is set if another run of the task was slow on another VM.
	SlowElsewhere bool
	// SlowOthers and SoundOthers count the recent runs of other tasks on the VM that are slow
	// compared with their own siblings, and that are not.
	SlowOthers, SoundOthers int
	// LongShare is the share of the queue's tasks that are that much longer than their siblings,
	// SlowVMShare the share of the VMs that are slow.
	LongShare, SlowVMShare float64
	// Age is the age of the newest observation; 0 if there is none.
	Age time.Duration
}

const (
	// slowOnSlow is the probability that a run on a slow VM is observed as slow, slowOnSound that
	// a run on a sound VM is, and its task is not long.
	slowOnSlow  = 0.9
	slowOnSound = 0.02
	// maxEvidence bounds the runs of each kind that count: runs beside each other are not
	// independent.
	maxEvidence = 3
)

// ProbabilityOfSlowVM returns the probability that the VM is slow, rather than the task long.
func ProbabilityOfSlowVM(e Evidence) float64 {
	long := min(max(e.LongShare, slowOnSound), 1-slowOnSound)
	slow := min(max(e.SlowVMShare, slowOnSound), 1-slowOnSound)
	odds := slow / long
	for range min(e.SlowOthers, maxEvidence) {
		odds *= slowOnSlow / long
	}
	for range min(e.SoundOthers, maxEvidence) {
		odds *= (1 - slowOnSlow) / (1 - long)
	}
	if e.SlowElsewhere {
		// If the task is not long, the other VM was slow as well.
		odds *= slow / slowOnSlow
	}
	return odds / (1 + odds)
}
