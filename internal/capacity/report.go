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

// The target size that users require, and the budgets per node.
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

// targetNodes are the numbers of nodes for which the report shows the cost.
var targetNodes = []int{36, 72, 140}

// Read reads a measurement from a JSON file.
func Read(file string) (Measurement, error) {
	var m Measurement
	raw, err := os.ReadFile(file)
	if err != nil {
		return m, errors.Wrap(err, "read measurement")
	}
	return m, errors.Wrap(json.Unmarshal(raw, &m), "decode measurement")
}

// termCount is the number of terms of a node's cost: a fixed one, and one each proportional to
// the VMs it owns, the tasks it holds and the exchanges it begins per second.
const termCount = 4

func (s Size) termValues() []float64 {
	n := float64(s.Nodes)
	return []float64{1, float64(s.VMs) / n, float64(s.Tasks) / n, cluster.ExchangesPerSecond(s.Nodes)}
}

// Coefficients holds the cost per unit of each term.
type Coefficients []float64

// CostAt returns the cost of a node at a size, at least 0.
func (c Coefficients) CostAt(size Size) float64 {
	sum := 0.0
	for i, v := range size.termValues() {
		sum += c[i] * v
	}
	return max(sum, 0)
}

// Fit fits the terms of a cost to the samples by least squares and returns their coefficients and
// the root mean square of the residuals. Since costs are not negative, the term with the most
// negative coefficient is removed and the others are fitted again until none is negative.
func Fit(samples []Sample, cost func(Sample) float64) (Coefficients, float64) {
	terms := []int{0, 1, 2, 3}
	for {
		design := mat.NewDense(len(samples), len(terms), nil)
		costs := mat.NewVecDense(len(samples), nil)
		for i, s := range samples {
			row := s.termValues()
			for j, term := range terms {
				design.Set(i, j, row[term])
			}
			costs.SetVec(i, cost(s))
		}
		var solution mat.VecDense
		if err := solution.SolveVec(design, costs); err != nil {
			return make(Coefficients, termCount), math.NaN()
		}
		coefficients := make(Coefficients, termCount)
		lowest := -1
		for j, term := range terms {
			coefficients[term] = solution.AtVec(j)
			if coefficients[term] < 0 && (lowest < 0 || coefficients[term] < coefficients[terms[lowest]]) {
				lowest = j
			}
		}
		if lowest < 0 {
			return coefficients, rmsError(samples, cost, coefficients)
		}
		terms = append(terms[:lowest:lowest], terms[lowest+1:]...)
	}
}

func rmsError(samples []Sample, cost func(Sample) float64, coefficients Coefficients) float64 {
	sum := 0.0
	for _, s := range samples {
		residual := cost(s) - coefficients.CostAt(s.Size)
		sum += residual * residual
	}
	return math.Sqrt(sum / float64(len(samples)))
}

// metric is one kind of cost in the report, with its number format.
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

// targetSize returns the target size with the given number of nodes.
func targetSize(nodes int) Size {
	return Size{Nodes: nodes, Zones: targetZones, VMs: targetVMs, Tasks: targetTasks, Teams: targetTeams, Services: targetServices}
}

// Report returns the tables of docs/CAPACITY.md, in Markdown.
func Report(m Measurement) string {
	var b strings.Builder
	writeSlopes(&b, m)
	writeTarget(&b, m)
	writeStore(&b, m)
	writeChurn(&b, m)
	writeCheck(&b, m)
	return b.String()
}

// peakStartsPerSecond is the peak rate of task starts at the target size.
const peakStartsPerSecond = 50.0

// writeChurn writes the cost per task start and the additional cost of a node at the peak rate.
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
		coefficients, rms := Fit(m.Samples, x.cost)
		fmt.Fprintf(b, "| %s |", x.name)
		for _, v := range coefficients {
			// Adding 0 turns a negative zero into a positive one.
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
	line := func(name, format string, budget string, costAt func(Size) float64) {
		fmt.Fprintf(b, "| %s |", name)
		for _, n := range targetNodes {
			fmt.Fprintf(b, " "+format+" |", costAt(targetSize(n)))
		}
		fmt.Fprintf(b, " %s |\n", budget)
	}
	sum := func(s Size) float64 {
		bytes := 0.0
		for _, k := range Kinds {
			coefficients, _ := Fit(m.Samples, func(x Sample) float64 { return x.BytesPerNode[k] })
			bytes += coefficients.CostAt(s)
		}
		return bytes
	}
	for _, k := range Kinds {
		coefficients, _ := Fit(m.Samples, func(x Sample) float64 { return x.BytesPerNode[k] })
		line("bytes/s, "+string(k), "%.0f", "", coefficients.CostAt)
	}
	line("bytes/s, sum", "%.0f", fmt.Sprintf("%.0f", budgetBytes), sum)
	cpu, _ := Fit(m.Samples, func(x Sample) float64 { return x.CPUPerNode })
	line("share of a core, % (with stand-ins)", "%.2f", fmt.Sprintf("%.1f", 100*budgetCPU), func(s Size) float64 { return 100 * cpu.CostAt(s) })
	heap, _ := Fit(m.Samples, func(x Sample) float64 { return x.HeapPerNode })
	line("live heap, MB (with stand-ins)", "%.1f", fmt.Sprintf("%.0f", budgetHeap/1e6), func(s Size) float64 { return heap.CostAt(s) / 1e6 })
	b.WriteString("\n")
}

// isWriteCall contains the kinds of store calls that are writes.
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
		coefficients, _ := Fit(m.Samples, x.cost)
		fmt.Fprintf(b, "| %s |", call)
		for i, n := range targetNodes {
			v := coefficients.CostAt(targetSize(n)) * float64(n)
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
		coefficients, _ := Fit(m.Samples, x.cost)
		predicted, measured := coefficients.CostAt(m.HeldOut.Size), x.cost(m.HeldOut)
		deviation := "-"
		if measured != 0 {
			deviation = fmt.Sprintf("%+.0f %%", 100*(predicted-measured)/measured)
		}
		fmt.Fprintf(b, "| %s | "+x.format+" | "+x.format+" | %s |\n", x.name, predicted, measured, deviation)
	}
}
