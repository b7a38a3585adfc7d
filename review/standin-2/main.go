//go:build review2

// Command standin-2 plays one case of the second review: it starts the programs of the deploy file
// as separate processes on loopback, with stand-ins for the platform, the workers and the clients,
// and judges what these have seen. It exits with 1 if the rule was broken, 0 if it held and 2 if
// the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"
)

// Exit statuses.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. A case returns what broke the rule, "" if nothing did.
var cases = map[string]func(*cluster, bool) (string, error){
	"failures":  playFailures,
	"probation": playProbation,
	"longtasks": playLongTasks,
	"upkeep":    playUpkeep,
	"hopeless":  playHopeless,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) < 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD COMMAND...")
		return exitNotRun
	}
	record, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	trouble := os.Getenv("TROUBLE") != "0"
	record.logf("case %s, trouble %t, command %s", os.Args[1], trouble, strings.Join(os.Args[3:], " "))
	c, err := newCluster(record, os.Args[3:])
	if err != nil {
		record.logf("not run: %v", err)
		return exitNotRun
	}
	defer c.close()
	broken, err := playWithin(108*time.Second, func() (string, error) { return cases[os.Args[1]](c, trouble) })
	switch {
	case err != nil:
		record.logf("not run: %v", err)
		return exitNotRun
	case broken != "":
		record.logf("BROKEN: %s", broken)
		return exitBroken
	}
	record.logf("held")
	return exitHeld
}

// playWithin plays a case, but not for longer than d.
func playWithin(d time.Duration, play func() (string, error)) (broken string, err error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		broken, err = play()
	}()
	select {
	case <-done:
		return broken, err
	case <-time.After(d):
		return "", errors.New("the case took too long")
	}
}
