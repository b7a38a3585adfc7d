// Package steady provides the monotonic clock that leases are measured by. It
// includes the time in which the machine was suspended. Go's own monotonic clock
// excludes that time, so that a process would take an expired lease for valid
// after a suspension.
package steady

import (
	"time"

	"golang.org/x/sys/unix"
)

var startedAt = sinceBoot()

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Only a kernel without this clock fails. The time since the start then
		// excludes suspensions, and only the fencing tokens at the VMs protect
		// against an expired lease.
		return time.Since(processStart)
	}
	return time.Duration(ts.Nano())
}

var processStart = time.Now()

// Now returns the time since the process started.
func Now() time.Duration { return sinceBoot() - startedAt }
