package dev

import (
	"context"
	"fmt"
	"time"

	"github.com/rattanwall/rattanwall/internal/harness"
	"github.com/rattanwall/rattanwall/internal/load"
	"github.com/rattanwall/rattanwall/internal/model"
)

// incident is something that goes wrong, or is done on purpose, at a fraction of
// the run.
type incident struct {
	fraction float64
	trigger  func(ctx context.Context) string
}

// runIncidents brings about, during the load, what the invariants are about: a VM
// leaves, a node is replaced as planned, callers come in a burst, connections
// go silent.
func runIncidents(ctx context.Context, o Options, d *harness.Deployment, g *load.Generator) {
	first := d.Shape.ZoneNames()[0]
	leaving, silent := fmt.Sprintf("%s-w01", first), fmt.Sprintf("%s-w02", first)
	replaced := d.Shape.Nodes()[0].Name
	list := []incident{
		{0.2, func(context.Context) string {
			d.Platform.SetVMState(leaving, model.VMLeaving)
			return "the platform's list says that " + leaving + " leaves"
		}},
		{0.4, func(context.Context) string {
			go func() { _ = d.ReplaceNode(replaced) }()
			return "node " + replaced + " is replaced, as planned"
		}},
		{0.6, func(ctx context.Context) string {
			g.Burst(context.WithoutCancel(ctx), model.Quick, burstSize)
			return fmt.Sprintf("%d callers came at once", burstSize)
		}},
		{0.75, func(context.Context) string {
			d.Worker(silent).Silence()
			return "all open connections of " + silent + " go silent"
		}},
	}
	started := time.Now()
	for _, m := range list {
		due := time.Duration(m.fraction*float64(o.Duration)) - time.Since(started)
		select {
		case <-ctx.Done():
			return
		case <-time.After(due):
		}
		o.Printf("%5.1fs  %s", time.Since(started).Seconds(), m.trigger(ctx))
	}
}
