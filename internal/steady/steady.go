// Package steady is the clock that leases are kept by: it never jumps, and it
// counts the time in which the machine was suspended. Go's own steady clock does
// not count that time: a process that wakes would take an old lease for valid.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

var startedAt = sinceBoot()

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Only a kernel without this clock refuses; time since the start then
		// leaves suspensions out, and the fencing tokens at the VMs remain.
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

// Now is the time since the process started.
func Now() time.Duration { return sinceBoot() - startedAt }
