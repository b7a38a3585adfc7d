package harness

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the package on one processor. With the race detector, the Go
// runtime (1.26.8) lets the timers of a synctest bubble fire on several threads
// at once under one race context, and the detector crashes (SIGSEGV within it).
// On one processor it does not, and it finds races all the same: it goes by the
// order that synchronisation gives, not by what happens to overlap.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
