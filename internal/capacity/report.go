package capacity

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"sort"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/gonum/mat"

	"github.com/rattanwall/rattanwall/internal/cluster"
)

// The target of the users' letter, and the budgets per node.
const (
	targetVMs      = 750
	targetTasks    = 1_700 + 9_200
	targetTeams    = 180
	targetZones    = 12
	targetServices = 4 // assumed

	budgetBytes = 5_000.0
	budgetCPU   = 0.041
	budgetHeap  = 32e6
)

// targetNodes are the numbers of entry VMs that the page shows.
var targetNodes = []int{36, 72, 140}

// Read reads a measurement.
func Read(file string) (Measurement, error) {
	var m Measurement
	raw, err := os.ReadFile(file)
	if err != nil {
		return m, errors.Wrap(err, "read measurement")
	}
	return m, errors.Wrap(json.Unmarshal(raw, &m), "decode measurement")
}

// termCount is how many parts a node's cost is a sum of: a fixed one, one for each
// VM owned, each task held, and each exchange that it begins a second.
const termCount = 4

func (s Size) termValues() []float64 {
	n := float64(s.Nodes)
	return []float64{1, float64(s.VMs) / n, float64(s.Tasks) / n, cluster.ExchangesPerSecond(s.Nodes)}
}

// Coefficients is a cost per term.
type Coefficients []float64

// CostAt returns the cost at a size.
func (s Coefficients) CostAt(size Size) float64 {
	sum := 0.0
	for i, v := range size.termValues() {
		sum += s[i] * v
	}
	return max(sum, 0)
}

// Fit fits a cost to the samples by least squares and returns it with the root
// mean square of what it misses by. Nothing costs less than nothing, so a term
// that comes out negative is left out and the rest fitted again.
func Fit(samples []Sample, cost func(Sample) float64) (Coefficients, float64) {
	use := []int{0, 1, 2, 3}
	for {
		a := mat.NewDense(len(samples), len(use), nil)
		b := mat.NewVecDense(len(samples), nil)
		for i, s := range samples {
			row := s.termValues()
			for j, term := range use {
				a.Set(i, j, row[term])
			}
			b.SetVec(i, cost(s))
		}
		var x mat.VecDense
		if err := x.SolveVec(a, b); err != nil {
			return make(Coefficients, termCount), math.NaN()
		}
		slope := make(Coefficients, termCount)
		worst := -1
		for j, term := range use {
			slope[term] = x.AtVec(j)
			if slope[term] < 0 && (worst < 0 || slope[term] < slope[use[worst]]) {
				worst = j
			}
		}
		if worst < 0 {
			return slope, rmsError(samples, cost, slope)
		}
		use = append(use[:worst:worst], use[worst+1:]...)
	}
}

func rmsError(samples []Sample, cost func(Sample) float64, slope Coefficients) float64 {
	sum := 0.0
	for _, s := range samples {
		d := cost(s) - slope.CostAt(s.Size)
		sum += d * d
	}
	return math.Sqrt(sum / float64(len(samples)))
}

// metric is one cost of the report.
type metric struct {
	name   string
	cost   func(Sample) float64
	format string
}

func metrics(m Measurement) []metric {
	var list []metric
	for _, k := range Kinds {
		list = append(list, metric{"bytes/s, " + string(k), func(s Sample) float64 { return s.BytesPerNode[k] }, "%.1f"})
	}
	calls := map[string]bool{}
	for _, s := range m.Samples {
		for k := range s.CallsPerNode {
			calls[k] = true
		}
	}
	var kinds []string
	for k := range calls {
		kinds = append(kinds, k)
	}
	sort.Strings(kinds)
	for _, k := range kinds {
		list = append(list, metric{"store calls/s, " + k, func(s Sample) float64 { return s.CallsPerNode[k] }, "%.4f"})
	}
	return append(list,
		metric{"share of a core (with stand-ins)", func(s Sample) float64 { return s.CPUPerNode }, "%.5f"},
		metric{"live heap, bytes (with stand-ins)", func(s Sample) float64 { return s.HeapPerNode }, "%.0f"})
}

// targetSize is the target size with a number of entry VMs.
func targetSize(nodes int) Size {
	return Size{Nodes: nodes, Zones: targetZones, VMs: targetVMs, Tasks: targetTasks, Teams: targetTeams, Services: targetServices}
}

// Report writes the page's tables.
func Report(m Measurement) string {
	var b strings.Builder
	writeSlopes(&b, m)
	writeTarget(&b, m)
	writeStore(&b, m)
	writeChurn(&b, m)
	writeCheck(&b, m)
	return b.String()
}

// peakStartsPerSecond is the target's peak of task starts a second.
const peakStartsPerSecond = 50.0

// writeChurn writes what starts cost and what the peak adds to a node.
func writeChurn(b *strings.Builder, m Measurement) {
	c := m.Churn
	fmt.Fprintf(b, "### Task starts, each with its end, beyond rest (measured at %.0f starts/s, %d starts, %d nodes)\n\n| cost | per start |", c.StartsPerSecond, c.Starts, m.HeldOut.Nodes)
	for _, n := range targetNodes {
		fmt.Fprintf(b, " a node at %.0f starts/s, %d nodes |", peakStartsPerSecond, n)
	}
	b.WriteString("\n|---|---|" + strings.Repeat("---|", len(targetNodes)) + "\n")
	line := func(name, format string, perStart, share float64) {
		fmt.Fprintf(b, "| %s | "+format+" |", name, perStart)
		for _, n := range targetNodes {
			fmt.Fprintf(b, " "+format+" |", share*perStart*peakStartsPerSecond/float64(n))
		}
		b.WriteString("\n")
	}
	for _, k := range Kinds {
		share := 1.0
		if k == KindPeer {
			share = 2
		}
		line("bytes, "+string(k), "%.0f", c.BytesPerStart[k], share)
	}
	line("store puts", "%.2f", c.PutsPerStart, 1)
	line("processor time, ms (with stand-ins)", "%.2f", c.CPUMSPerStart, 1)
	fmt.Fprintf(b, "\nFrom submission to running: p50 %.0f ms, p99 %.0f ms. Puts of the fleet at %.0f starts/s: %.0f a second at most, since commits are shared when busy.\n\n",
		c.StartP50MS, c.StartP99MS, peakStartsPerSecond, c.PutsPerStart*peakStartsPerSecond)
}

func writeSlopes(b *strings.Builder, m Measurement) {
	b.WriteString("### Measured slopes, per node at rest\n\n| cost | fixed | per VM owned | per task held | per exchange begun/s | fit misses by (rms) |\n|---|---|---|---|---|---|\n")
	for _, x := range metrics(m) {
		slope, rms := Fit(m.Samples, x.cost)
		fmt.Fprintf(b, "| %s |", x.name)
		for _, v := range slope {
			// Adding zero takes the sign off a zero that is negative.
			fmt.Fprintf(b, " "+x.format+" |", math.Round(v*1e9)/1e9+0)
		}
		fmt.Fprintf(b, " "+x.format+" |\n", rms)
	}
	b.WriteString("\n")
}

func writeTarget(b *strings.Builder, m Measurement) {
	b.WriteString("### A node at the target size, at rest (measured slope x size)\n\n| cost |")
	for _, n := range targetNodes {
		fmt.Fprintf(b, " %d nodes |", n)
	}
	b.WriteString(" budget |\n|---|" + strings.Repeat("---|", len(targetNodes)+1) + "\n")
	line := func(name, format string, budget string, at func(Size) float64) {
		fmt.Fprintf(b, "| %s |", name)
		for _, n := range targetNodes {
			fmt.Fprintf(b, " "+format+" |", at(targetSize(n)))
		}
		fmt.Fprintf(b, " %s |\n", budget)
	}
	sum := func(s Size) float64 {
		bytes := 0.0
		for _, k := range Kinds {
			slope, _ := Fit(m.Samples, func(x Sample) float64 { return x.BytesPerNode[k] })
			bytes += slope.CostAt(s)
		}
		return bytes
	}
	for _, k := range Kinds {
		slope, _ := Fit(m.Samples, func(x Sample) float64 { return x.BytesPerNode[k] })
		line("bytes/s, "+string(k), "%.0f", "", slope.CostAt)
	}
	line("bytes/s, sum", "%.0f", fmt.Sprintf("%.0f", budgetBytes), sum)
	cpu, _ := Fit(m.Samples, func(x Sample) float64 { return x.CPUPerNode })
	line("share of a core, % (with stand-ins)", "%.2f", fmt.Sprintf("%.1f", 100*budgetCPU), func(s Size) float64 { return 100 * cpu.CostAt(s) })
	heap, _ := Fit(m.Samples, func(x Sample) float64 { return x.HeapPerNode })
	line("live heap, MB (with stand-ins)", "%.1f", fmt.Sprintf("%.0f", budgetHeap/1e6), func(s Size) float64 { return heap.CostAt(s) / 1e6 })
	b.WriteString("\n")
}

// isWriteCall says which calls of the store count as writes.
var isWriteCall = map[string]bool{"put": true, "delete": true, "grant": true, "renew": true, "revoke": true}

func writeStore(b *strings.Builder, m Measurement) {
	b.WriteString("### The store at the target size, at rest, calls/s of the whole fleet (measured slope x size)\n\n| call |")
	for _, n := range targetNodes {
		fmt.Fprintf(b, " %d nodes |", n)
	}
	b.WriteString(" planned limit |\n|---|" + strings.Repeat("---|", len(targetNodes)+1) + "\n")
	sums := map[bool][]float64{true: make([]float64, len(targetNodes)), false: make([]float64, len(targetNodes))}
	for _, x := range metrics(m) {
		call, ok := strings.CutPrefix(x.name, "store calls/s, ")
		if !ok {
			continue
		}
		slope, _ := Fit(m.Samples, x.cost)
		fmt.Fprintf(b, "| %s |", call)
		for i, n := range targetNodes {
			v := slope.CostAt(targetSize(n)) * float64(n)
			sums[isWriteCall[call]][i] += v
			fmt.Fprintf(b, " %.1f |", v)
		}
		b.WriteString(" |\n")
	}
	for _, w := range []struct {
		name  string
		write bool
		limit string
	}{{"writes", true, "120"}, {"reads, waiting watches included", false, "650"}} {
		fmt.Fprintf(b, "| **%s** |", w.name)
		for i := range targetNodes {
			fmt.Fprintf(b, " %.1f |", sums[w.write][i])
		}
		fmt.Fprintf(b, " %s |\n", w.limit)
	}
	b.WriteString("\n")
}

func writeCheck(b *strings.Builder, m Measurement) {
	fmt.Fprintf(b, "### Check of the fit: a size that it does not use (%d nodes, %d VMs, %d tasks)\n\n| cost | predicted | measured | off by |\n|---|---|---|---|\n", m.HeldOut.Nodes, m.HeldOut.VMs, m.HeldOut.Tasks)
	for _, x := range metrics(m) {
		slope, _ := Fit(m.Samples, x.cost)
		predicted, measured := slope.CostAt(m.HeldOut.Size), x.cost(m.HeldOut)
		off := "-"
		if measured != 0 {
			off = fmt.Sprintf("%+.0f %%", 100*(predicted-measured)/measured)
		}
		fmt.Fprintf(b, "| %s | "+x.format+" | "+x.format+" | %s |\n", x.name, predicted, measured, off)
	}
}
