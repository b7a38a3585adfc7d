package runtimes

import "time"

// Way selects when a run that is slower than its siblings is copied or restarted.
type Way string

// The ways.
const (
	// WayRate acts on every run whose rate is a third of its siblings', at any load.
	WayRate Way = "rate"
	// WayGain acts where the time expected to be saved exceeds the processor time expected to be
	// lost, at the price of the present load.
	WayGain Way = "gain"
	// WayIdle is WayGain with copies only while processors are idle.
	WayIdle Way = "idle"
)

const (
	// minSaved is the least time saved that is worth a start: that of a few messages.
	minSaved = 300 * time.Millisecond
	// idleLoad is the load up to which processors count as idle.
	idleLoad = 0.85
)

// Facts describe a run that is slower than its siblings.
type Facts struct {
	// Remaining is the expected time until the run ends. Siblings is the time that its siblings
	// take, and Whole the time that the task would take elsewhere if it is long; both are counted
	// from where a new run would begin.
	Remaining, Siblings, Whole time.Duration
	// Next is the longest expected remaining time of the step's other tasks: before it, nothing
	// is saved.
	Next time.Duration
	// Lost is the work of the run that no checkpoint has saved.
	Lost time.Duration
	// RestartDelay is the time from the decision for a restart until the new run begins.
	RestartDelay time.Duration
	// SlowVM is the probability that the VM is slow, rather than the task long.
	SlowVM float64
	// MayCopy is set if the step allows copies of a run.
	MayCopy bool
	// Load is the share of all processors that is in use; 1 while tasks wait for processors.
	Load float64
}

// Remedy is what is done about a slow run.
type Remedy string

// The remedies.
const (
	Leave   Remedy = "leave"
	Copy    Remedy = "copy"
	Restart Remedy = "restart"
)

// Choice is a remedy and its expected effect.
type Choice struct {
	Remedy Remedy
	// Saved is the time expected to be saved for the step, Cost the processor time of one
	// processor expected to be lost, at the price of the load.
	Saved, Cost time.Duration
}

// Choose returns the remedy for a slow run. It does not apply to WayRate.
func Choose(way Way, f Facts) Choice {
	c := f.restart()
	if f.MayCopy {
		c = f.copy()
		if way == WayIdle && f.Load > idleLoad {
			c.Remedy = Leave
		}
	}
	if c.Saved < minSaved || c.Saved <= c.Cost {
		c.Remedy = Leave
	}
	return c
}

// copy returns the effect of a second run. If the task is long, the first one ends first.
func (f *Facts) copy() Choice {
	saved := max(f.Remaining, f.Next) - max(min(f.Remaining, f.Siblings), f.Next)
	// Both runs go on until the first of them ends.
	twice := f.expect(min(f.Remaining, f.Siblings), min(f.Remaining, f.Whole))
	return Choice{Remedy: Copy, Saved: scale(saved, f.SlowVM), Cost: scale(twice, f.price())}
}

// restart returns the effect of stopping the run and starting it elsewhere.
func (f *Facts) restart() Choice {
	after := f.expect(max(f.RestartDelay+f.Siblings, f.Next), max(f.RestartDelay+f.Whole, f.Next))
	return Choice{Remedy: Restart, Saved: max(f.Remaining, f.Next) - after, Cost: scale(f.Lost, f.price())}
}

// expect returns the expectation of a time that depends on whether the VM is slow.
func (f *Facts) expect(ifSlowVM, ifLongTask time.Duration) time.Duration {
	return scale(ifSlowVM, f.SlowVM) + scale(ifLongTask, 1-f.SlowVM)
}

// price is the value of processor time: none while there are idle processors.
func (f *Facts) price() float64 { return min(max((f.Load-idleLoad)/(1-idleLoad), 0), 1) }

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
