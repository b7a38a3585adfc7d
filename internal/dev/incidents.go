package dev

import (
	"context"
	"fmt"
	"time"

	"github.com/rattanwall/rattanwall/internal/harness"
	"github.com/rattanwall/rattanwall/internal/load"
	"github.com/rattanwall/rattanwall/internal/model"
)

// incident is a fault or a planned operation that is triggered after a fraction of the run.
// trigger returns a description for the user.
type incident struct {
	fraction float64
	trigger  func(ctx context.Context) string
}

// runIncidents triggers, during the load, the incidents that the invariants are about: a VM
// leaves, a node is replaced as planned, a burst of requests arrives, and connections become
// unresponsive.
func runIncidents(ctx context.Context, o Options, d *harness.Deployment, generator *load.Generator) {
	first := d.Shape.ZoneNames()[0]
	leaving, unresponsive := fmt.Sprintf("%s-w01", first), fmt.Sprintf("%s-w02", first)
	replaced := d.Shape.Nodes()[0].Name
	incidents := []incident{
		{0.2, func(context.Context) string {
			d.Platform.SetVMState(leaving, model.VMLeaving)
			return "the platform's list says that " + leaving + " leaves"
		}},
		{0.4, func(context.Context) string {
			go func() { _ = d.ReplaceNode(replaced) }()
			return "node " + replaced + " is replaced, as planned"
		}},
		{0.6, func(ctx context.Context) string {
			generator.Burst(context.WithoutCancel(ctx), model.Quick, burstSize)
			return fmt.Sprintf("%d callers came at once", burstSize)
		}},
		{0.75, func(context.Context) string {
			d.Worker(unresponsive).Silence()
			return "all open connections of " + unresponsive + " go silent"
		}},
	}
	started := time.Now()
	for _, next := range incidents {
		due := time.Duration(next.fraction*float64(o.Duration)) - time.Since(started)
		select {
		case <-ctx.Done():
			return
		case <-time.After(due):
		}
		o.Printf("%5.1fs  %s", time.Since(started).Seconds(), next.trigger(ctx))
	}
}
