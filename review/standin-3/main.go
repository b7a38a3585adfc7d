//go:build review3

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// verdict is what a case found: broken is set if its rule was broken.
type verdict struct {
	broken bool
	why    string
}

// cases holds the cases by name. Without trouble, a case does the same without its disruption.
var cases = map[string]func(w *world, trouble bool) verdict{
	"foreign-entry": foreignEntry,
	"wave-stuck":    waveStuck,
	"fillers-moved": fillersMoved,
	"pending-count": pendingCount,
}

// limit bounds the time of a case.
const limit = 115 * time.Second

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review3 CASE RECORD")
		os.Exit(2)
	}
	w := newWorld(os.Args[2])
	time.AfterFunc(limit, func() { fail("the case took longer than %s", limit) })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { fail("ended by %s", <-signals) }()
	v := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	w.rec.note("VERDICT broken=%t %s", v.broken, v.why)
	w.close()
	fmt.Printf("broken=%t %s\n", v.broken, v.why)
	if v.broken {
		os.Exit(1)
	}
}
