//go:build review

package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRunTime is when a case that hangs is ended.
const maxRunTime = 110 * time.Second

func main() {
	// The processes that this thread starts end with it, however this program ends.
	runtime.LockOSThread()
	cases := map[string]func(r *record, trouble bool) (int, error){
		"crashing-rack": crashingRack, "late-submission": lateSubmission, "stale-upkeep": staleUpkeep,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		os.Exit(exitNotRun)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	r := &record{began: time.Now(), out: out}
	time.AfterFunc(maxRunTime, func() {
		r.printf("the case hangs")
		os.Exit(exitNotRun)
	})
	code, err := cases[os.Args[1]](r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.printf("the case could not run: %v", err)
		code = exitNotRun
	}
	r.printf("exit code %d", code)
	_ = out.Close()
	os.Exit(code)
}
