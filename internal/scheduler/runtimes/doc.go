// Package runtimes judges why a run takes longer than its siblings and what to do about it.
//
// A task may be long, or its VM may be slow. Both look alike in the progress of one run; other
// tasks' runs on the VM and earlier runs of the task tell them apart. The package learns the speed
// of VMs and the spread of durations, weighs that evidence, and compares the time that a copy or a
// restart is expected to save with the work that it costs.
//
// Its functions are pure: they get facts and a time, and return a decision with its inputs.
package runtimes
