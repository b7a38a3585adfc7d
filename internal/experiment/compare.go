package experiment

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Report compares variants over the same seeds.
type Report struct {
	Scenario string   `json:"scenario"`
	Seeds    int      `json:"seeds"`
	First    uint64   `json:"first_seed"`
	Variants []Result `json:"variants"`
}

// Result summarises the outcomes of one variant over all seeds.
type Result struct {
	Name string `json:"name"`
	// Median, Low and High are the median and the lower and upper quartiles of Outcome.Service.
	Median float64 `json:"median"`
	Low    float64 `json:"lower_quartile"`
	High   float64 `json:"upper_quartile"`
	// Difference is the mean of the per-seed differences in service to the first variant,
	// Margin half the width of its 95 % confidence interval.
	Difference float64 `json:"difference"`
	Margin     float64 `json:"margin"`
	// Means holds the mean of each metric, except that the longest durations are maxima.
	Means    Outcome   `json:"means"`
	Outcomes []Outcome `json:"outcomes"`
}

// Significant reports whether the confidence interval of the difference excludes 0.
func (r *Result) Significant() bool { return math.Abs(r.Difference) > r.Margin }

// Options configure a comparison.
type Options struct {
	Variants []Variant
	Seeds    int
	First    uint64
	// Workers is the number of plays that run concurrently.
	Workers int
	// Progress, if not nil, is called after each play with the number of finished plays and
	// the total. Calls do not overlap.
	Progress func(done, all int)
}

// Compare plays all variants on the same seeds and summarises their outcomes.
func Compare(ctx context.Context, s *Scenario, o Options) (Report, error) {
	outcomes, err := playAll(ctx, s, &o)
	if err != nil {
		return Report{}, fmt.Errorf("experiment %s: %w", s.Name, err)
	}
	if o.Workers > 1 {
		clearAllocations(outcomes)
	}
	r := Report{Scenario: s.Name, Seeds: o.Seeds, First: o.First}
	for v := range o.Variants {
		r.Variants = append(r.Variants, summarise(o.Variants[v].Name, outcomes[v], outcomes[0]))
	}
	return r, nil
}

// playAll plays each variant on each seed, up to o.Workers at a time. The first error
// cancels the remaining plays.
func playAll(ctx context.Context, s *Scenario, o *Options) ([][]Outcome, error) {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(max(o.Workers, 1))
	outcomes := make([][]Outcome, len(o.Variants))
	for v := range outcomes {
		outcomes[v] = make([]Outcome, o.Seeds)
	}
	var mu sync.Mutex
	done, total := 0, len(o.Variants)*o.Seeds
	for seed := range o.Seeds {
		for v := range o.Variants {
			group.Go(func() error {
				out, err := Play(ctx, s, &o.Variants[v], o.First+uint64(seed))
				if err != nil {
					return err
				}
				mu.Lock()
				defer mu.Unlock()
				outcomes[v][seed] = out
				done++
				if o.Progress != nil {
					o.Progress(done, total)
				}
				return nil
			})
		}
	}
	return outcomes, group.Wait()
}

// clearAllocations removes allocation counts: the runtime's counter includes the allocations
// of concurrent plays.
func clearAllocations(outcomes [][]Outcome) {
	for v := range outcomes {
		for i := range outcomes[v] {
			outcomes[v][i].AllocsPerDecision = 0
		}
	}
}

func summarise(name string, outcomes, baseline []Outcome) Result {
	r := Result{Name: name, Outcomes: outcomes}
	service := metricValues(outcomes, func(o *Outcome) float64 { return o.Service })
	differences := make([]float64, len(service))
	for i := range service {
		differences[i] = service[i] - baseline[i].Service
	}
	r.Difference, r.Margin = meanAndMargin(differences)
	slices.Sort(service)
	r.Low = stat.Quantile(0.25, stat.Empirical, service, nil)
	r.Median = stat.Quantile(0.5, stat.Empirical, service, nil)
	r.High = stat.Quantile(0.75, stat.Empirical, service, nil)
	r.Means = means(outcomes)
	return r
}

// confidenceLevel applies to the intervals of differences.
const confidenceLevel = 0.95

// meanAndMargin returns the mean and half the width of its confidence interval. The margin
// of fewer than two values, which is infinite, is returned as 0.
func meanAndMargin(values []float64) (mean, margin float64) {
	if len(values) < 2 {
		return stat.Mean(values, nil), 0
	}
	mean, deviation := stat.MeanStdDev(values, nil)
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(values) - 1)}.Quantile((1 + confidenceLevel) / 2)
	return mean, t * deviation / math.Sqrt(float64(len(values)))
}

func metricValues(outcomes []Outcome, metric func(*Outcome) float64) []float64 {
	values := make([]float64, len(outcomes))
	for i := range outcomes {
		values[i] = metric(&outcomes[i])
	}
	return values
}

func means(outcomes []Outcome) Outcome {
	mean := func(metric func(*Outcome) float64) float64 { return stat.Mean(metricValues(outcomes, metric), nil) }
	m := Outcome{
		Service: mean(func(o *Outcome) float64 { return o.Service }), Kinds: map[string]float64{},
		WorstZone: mean(func(o *Outcome) float64 { return o.WorstZone }), BestZone: mean(func(o *Outcome) float64 { return o.BestZone }),
		Refusals: int(mean(func(o *Outcome) float64 { return float64(o.Refusals) })),
		Largest:  mean(func(o *Outcome) float64 { return o.Largest }), Smallest: mean(func(o *Outcome) float64 { return o.Smallest }),
		HarmS: mean(func(o *Outcome) float64 { return o.HarmS }), Used: mean(func(o *Outcome) float64 { return o.Used }),
		WastedS: mean(func(o *Outcome) float64 { return o.WastedS }),
		Copies:  int(mean(func(o *Outcome) float64 { return float64(o.Copies) })), CopiesWon: int(mean(func(o *Outcome) float64 { return float64(o.CopiesWon) })),
		SlowStops: int(mean(func(o *Outcome) float64 { return float64(o.SlowStops) })),
		RunsAway:  int(mean(func(o *Outcome) float64 { return float64(o.RunsAway) })), RackWaitS: mean(func(o *Outcome) float64 { return o.RackWaitS }),
		PaceOrders: int(mean(func(o *Outcome) float64 { return float64(o.PaceOrders) })), Starts: int(mean(func(o *Outcome) float64 { return float64(o.Starts) })),
		NsPerDecision:     mean(func(o *Outcome) float64 { return o.NsPerDecision }),
		AllocsPerDecision: mean(func(o *Outcome) float64 { return o.AllocsPerDecision }),
	}
	for _, k := range kindNames {
		m.Kinds[k] = mean(func(o *Outcome) float64 { return o.Kinds[k] })
	}
	// The longest durations are the maxima over all seeds, not means.
	for i := range outcomes {
		m.LongestHarmS = max(m.LongestHarmS, outcomes[i].LongestHarmS)
		m.LongestUnservedS = max(m.LongestUnservedS, outcomes[i].LongestUnservedS)
		m.LongestWaitS = max(m.LongestWaitS, outcomes[i].LongestWaitS)
	}
	return m
}
