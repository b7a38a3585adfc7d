package harness

import (
	"os"
	"runtime"
	"testing"
)

// TestMain runs the package on one processor. With the race detector, the Go
// runtime (1.26.8) runs timers of a synctest bubble on several threads at once
// with one race context, which crashes the detector (SIGSEGV within it). On one
// processor it does not crash and still finds races: it uses the order given by
// synchronisation, not actual overlap.
func TestMain(m *testing.M) {
	runtime.GOMAXPROCS(1)
	os.Exit(m.Run())
}
