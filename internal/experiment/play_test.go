package experiment

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/scheduler"
)

// smallScenario returns a scenario that plays in a tenth of a second.
func smallScenario(t *testing.T) Scenario {
	s, err := Find("faults-48")
	require.NoError(t, err)
	s.Fleet.VMs, s.Serving.Jobs, s.Short.PerS, s.Fillers.PerS = 12, 9, 1.6, 1.1
	s.LeadS, s.LoadS, s.AfterS = 4, 20, 6
	return s
}

// pressedSeeds is enough to show the gains in the tests below. They are the same on every run,
// since equal seeds give equal plays.
const pressedSeeds = 4

// pressedScenario returns the first forty seconds of pressed-48, in which nearly all fillers
// interfere with serving tasks.
func pressedScenario(t *testing.T) Scenario {
	s, err := Find("pressed-48")
	require.NoError(t, err)
	s.LoadS, s.AfterS = 24, 8
	return s
}

func play(t *testing.T, s *Scenario, v Variant, seed uint64) Outcome {
	out, err := Play(context.Background(), s, &v, seed)
	require.NoError(t, err)
	// These two are measured and differ between equal plays.
	out.NsPerDecision, out.AllocsPerDecision = 0, 0
	return out
}

func TestEqualSeedsGiveEqualOutcomes(t *testing.T) {
	s := smallScenario(t)
	v := Variants()[0]
	require.Equal(t, play(t, &s, v, 3), play(t, &s, v, 3))
	require.NotEqual(t, play(t, &s, v, 3).Service, play(t, &s, v, 4).Service)
}

func TestScenariosOfTheLibraryAreValid(t *testing.T) {
	require.NotEmpty(t, Scenarios())
	for _, name := range Scenarios() {
		s, err := Find(name)
		require.NoError(t, err)
		require.Equal(t, name, s.Name)
	}
}

func TestBuiltInPoliciesAreValid(t *testing.T) {
	for _, v := range Variants() {
		require.NoError(t, v.Policy.Validate(), v.Name)
	}
	_, err := Choose([]string{"nothing"})
	require.ErrorContains(t, err, "use default, first-come")
}

// An invalid scenario is rejected with errors that name the field and the fix.
func TestInvalidScenariosAreRejected(t *testing.T) {
	whole, err := library.ReadFile("scenarios/colocated-48.jsonc")
	require.NoError(t, err)
	for name, c := range map[string]struct{ raw, want string }{
		"unknown field":     {`{"name": "x", "vmz": 3}`, "vmz: no such field"},
		"field of a fault":  {`{"faults": [{"kin": "slow"}]}`, "faults[0].kin: no such field"},
		"kind of fault":     {`{"faults": [{"kind": "flood"}]}`, "faults[0].kind: use slow"},
		"negative rate":     {`{"short": {"per_s": -1}}`, "short.per_s: give 0 to 1000"},
		"absurd size":       {`{"fleet": {"vms": 100000000}}`, "fleet.vms: give 1 to 5000"},
		"cut off":           {string(whole[:len(whole)/2]), "unexpected EOF"},
		"empty":             {``, "EOF"},
		"wrong type":        {`{"name": 7}`, "name: give a string"},
		"share of a fault":  {`{"faults": [{"kind": "lost", "share": 3}]}`, "faults[0].share: give a share"},
		"slow without much": {`{"faults": [{"kind": "slow", "share": 0.1}]}`, "faults[0].times"},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse("s.jsonc", []byte(c.raw))
			require.ErrorContains(t, err, c.want)
		})
	}
	_, err = Load(filepath.Join(t.TempDir(), "none"))
	require.ErrorContains(t, err, "--list")
}

func TestParseVariant(t *testing.T) {
	v, err := ParseVariant("x", []byte(`{"peak_limit": 0.8}`))
	require.NoError(t, err)
	want := scheduler.DefaultPolicy()
	want.PeakLimit = 0.8
	require.Equal(t, want, v.Policy)
	_, err = ParseVariant("x", []byte(`{"peak_limits": 0.8}`))
	require.ErrorContains(t, err, "peak_limits: no such field")
	_, err = ParseVariant("x", []byte(`{"peak_limit": 8}`))
	require.ErrorContains(t, err, "peak_limit: give a share")
}

// A variant with the default policy has a difference of 0 that is not significant, progress is
// reported for every play, and the plot has the format of its file name.
func TestCompareAndPlot(t *testing.T) {
	s := smallScenario(t)
	variants, err := Choose([]string{"first-come"})
	require.NoError(t, err)
	variants = append(variants, Variant{Name: "same", Policy: scheduler.DefaultPolicy()})
	calls := 0
	r, err := Compare(context.Background(), &s, Options{Variants: variants, Seeds: 3, First: 5, Workers: 2, Progress: func(int, int) { calls++ }})
	require.NoError(t, err)
	require.Equal(t, 9, calls)
	require.Zero(t, r.Variants[2].Difference)
	require.False(t, r.Variants[2].Significant())
	file := filepath.Join(t.TempDir(), "p.svg")
	require.NoError(t, Plot(&r, file))
	raw, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Contains(t, string(raw[:200]), "<svg")
	require.ErrorContains(t, Plot(&r, filepath.Join(t.TempDir(), "p.doc")), ".svg")
}

// A comparison stops when its context is cancelled.
func TestPlayIsCancelled(t *testing.T) {
	s := smallScenario(t)
	variants, err := Choose(nil)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = Compare(ctx, &s, Options{Variants: variants, Seeds: 4, Workers: 2})
	require.ErrorIs(t, err, context.Canceled)
}

// Nearly all fillers interfere with all serving tasks, more arrive than can run beside them, and
// each starts soon. If paces were computed only with reports, serving tasks exceeded their target
// each time a filler started. Computing paces at each start avoids that.
func TestPacingAtStartsProtectsServingTasks(t *testing.T) {
	const manyStarts = `"starved_crowded_ms": 2000, "keep_empty": 0`
	s, err := Find("pressed-48")
	require.NoError(t, err)
	atStarts, err := ParseVariant("at starts", []byte(`{`+manyStarts+`}`))
	require.NoError(t, err)
	withReportsOnly, err := ParseVariant("with reports only", []byte(`{`+manyStarts+`, "pace_at_start": false}`))
	require.NoError(t, err)
	r, err := Compare(context.Background(), &s, Options{Variants: []Variant{atStarts, withReportsOnly}, Seeds: 8, First: 1, Workers: 4})
	require.NoError(t, err)
	harm, harmWithReportsOnly := r.Variants[0].Means.HarmS, r.Variants[1].Means.HarmS
	t.Logf("harmed task seconds: %.0f, with paces computed with reports only: %.0f", harm, harmWithReportsOnly)
	require.Less(t, harm, 0.8*harmWithReportsOnly)
}

// The load is that of TestPacingAtStartsProtectsServingTasks. Hundreds of jobs wait; if each could
// start one task after two seconds beside serving tasks that it interferes with, these tasks would
// run very slowly, delay other jobs and harm the serving tasks. In a crowded fleet jobs therefore
// wait longer before they start there.
func TestStarvedJobsWaitLongerInACrowdedFleet(t *testing.T) {
	s := pressedScenario(t)
	sameDelay, err := ParseVariant("as soon as elsewhere", []byte(`{"starved_crowded_ms": 2000}`))
	require.NoError(t, err)
	variants, err := Choose(nil)
	require.NoError(t, err)
	r, err := Compare(context.Background(), &s, Options{Variants: append(variants, sameDelay), Seeds: pressedSeeds, First: 1, Workers: 4})
	require.NoError(t, err)
	byDefault, withSameDelay := &r.Variants[0].Means, &r.Variants[1].Means
	t.Logf("fillers %.3f, with the same delay in a crowded fleet %.3f; harmed task seconds %.0f and %.0f", byDefault.Kinds["fillers"], withSameDelay.Kinds["fillers"], byDefault.HarmS, withSameDelay.HarmS)
	require.Greater(t, byDefault.Kinds["fillers"], withSameDelay.Kinds["fillers"]+0.01)
	require.Less(t, byDefault.HarmS, withSameDelay.HarmS)
}

// The load is that of TestPacingAtStartsProtectsServingTasks. If serving tasks ran on every VM,
// fillers that interfere with all of them would wait despite idle processors. A tenth of the VMs
// is therefore kept free of serving tasks while these have capacity elsewhere.
func TestKeptEmptyVMsRunFillersThatInterfereEverywhere(t *testing.T) {
	s := pressedScenario(t)
	noneEmpty, err := ParseVariant("spread", []byte(`{"keep_empty": 0}`))
	require.NoError(t, err)
	variants, err := Choose(nil)
	require.NoError(t, err)
	r, err := Compare(context.Background(), &s, Options{Variants: append(variants, noneEmpty), Seeds: pressedSeeds, First: 1, Workers: 4})
	require.NoError(t, err)
	byDefault, withNoneEmpty := r.Variants[0].Means.Kinds, r.Variants[1].Means.Kinds
	t.Logf("fillers %.3f, with no VM kept empty %.3f; serving %.3f and %.3f", byDefault["fillers"], withNoneEmpty["fillers"], byDefault["serving"], withNoneEmpty["serving"])
	require.Greater(t, byDefault["fillers"], withNoneEmpty["fillers"]+0.03)
	require.Greater(t, byDefault["serving"], withNoneEmpty["serving"]-0.01)
}

// Each VM that a task crashes costs other jobs their work on it. A job with such a task must fail
// after three or four VMs, rather than crash one every two seconds for as long as the load lasts.
func TestCrashingJobsFail(t *testing.T) {
	s, err := Find("crashing-48")
	require.NoError(t, err)
	for seed := range uint64(2) {
		out := play(t, &s, Variants()[0], seed)
		t.Logf("%d jobs crashed %d VMs; service %.3f, kinds %v", out.CrashingJobs, out.Crashes, out.Service, out.Kinds)
		require.Positive(t, out.CrashingJobs)
		require.LessOrEqual(t, out.Crashes, 5*out.CrashingJobs)
	}
}

// The restart of VMs under their IDs must cost only the runs on them. A leader that mistakes a new
// incarnation for the previous one loses run ends and repeats tasks for as long as the load lasts.
func TestRestartsCostOnlyTheRunsThere(t *testing.T) {
	s, err := Find("restarts-48")
	require.NoError(t, err)
	faultless := s
	faultless.Faults = nil
	for seed := range uint64(2) {
		out, baseline := play(t, &s, Variants()[0], seed), play(t, &faultless, Variants()[0], seed)
		t.Logf("%d restarts; service %.3f, without %.3f; starts %d, without %d; kinds %v", out.Restarts, out.Service, baseline.Service, out.Starts, baseline.Starts, out.Kinds)
		require.Positive(t, out.Restarts)
		require.Less(t, float64(out.Starts), 1.5*float64(baseline.Starts))
	}
}
