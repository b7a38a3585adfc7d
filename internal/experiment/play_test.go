package experiment

import (
	"context"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/scheduler"
)

// smallScenario is a scenario that plays in a tenth of a second.
func smallScenario(t *testing.T) Scenario {
	s, err := Find("faults-48")
	require.NoError(t, err)
	s.Fleet.VMs, s.Serving.Jobs, s.Short.PerS, s.Fillers.PerS = 12, 9, 1.6, 1.1
	s.LeadS, s.LoadS, s.AfterS = 4, 20, 6
	return s
}

// pressedSeeds are enough to tell the gains below, which are the same on every run: equal
// seeds give equal plays.
const pressedSeeds = 4

// pressedScenario is the first forty seconds of the scenario of that name.
func pressedScenario(t *testing.T) Scenario {
	s, err := Find("pressed-48")
	require.NoError(t, err)
	s.LoadS, s.AfterS = 24, 8
	return s
}

func play(t *testing.T, s *Scenario, v Variant, seed uint64) Outcome {
	out, err := Play(context.Background(), s, &v, seed)
	require.NoError(t, err)
	// These two are measured, not decided.
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

// A scenario that makes no sense is refused whole: every fault with line, field and fix.
func TestScenariosThatAreRefused(t *testing.T) {
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

func TestChangedPolicies(t *testing.T) {
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

// A comparison tells chance from gain: a variant that is the default one has a
// difference of 0, and a plot is a picture.
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

// A play ends when it is told to.
func TestPlayIsCancelled(t *testing.T) {
	s := smallScenario(t)
	variants, err := Choose(nil)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = Compare(ctx, &s, Options{Variants: variants, Seeds: 4, Workers: 2})
	require.ErrorIs(t, err, context.Canceled)
}

// Load: nearly every filler presses on all that serves, more of them come than can run
// beside it, and each starts soon: many starts beside what minds them. Symptom: serving
// tasks are over their target each time a filler starts. The decision that answers it is
// to work paces out at each start.
func TestPacingAtStartsSparesWhatServes(t *testing.T) {
	const manyStarts = `"starved_crowded_ms": 2000, "keep_empty": 0`
	s, err := Find("pressed-48")
	require.NoError(t, err)
	atStarts, err := ParseVariant("at starts", []byte(`{`+manyStarts+`}`))
	require.NoError(t, err)
	late, err := ParseVariant("with reports only", []byte(`{`+manyStarts+`, "pace_at_start": false}`))
	require.NoError(t, err)
	r, err := Compare(context.Background(), &s, Options{Variants: []Variant{atStarts, late}, Seeds: 8, First: 1, Workers: 4})
	require.NoError(t, err)
	now, before := r.Variants[0].Means.HarmS, r.Variants[1].Means.HarmS
	t.Logf("harmed task seconds: %.0f, with reports only %.0f", now, before)
	require.Less(t, now, 0.8*before)
}

// Load: as above. Symptom: hundreds of jobs wait, and each gets one task after two
// seconds beside serving tasks that mind it; slowed to a crawl there, they keep others
// from ending in time and press on what serves. The decision that answers it: in a
// crowded fleet jobs wait longer before they start beside others.
func TestStarvedJobsWaitLongerInACrowdedFleet(t *testing.T) {
	s := pressedScenario(t)
	soon, err := ParseVariant("as soon as elsewhere", []byte(`{"starved_crowded_ms": 2000}`))
	require.NoError(t, err)
	variants, err := Choose(nil)
	require.NoError(t, err)
	r, err := Compare(context.Background(), &s, Options{Variants: append(variants, soon), Seeds: pressedSeeds, First: 1, Workers: 4})
	require.NoError(t, err)
	now, before := &r.Variants[0].Means, &r.Variants[1].Means
	t.Logf("fillers %.3f, before %.3f; harmed task seconds %.0f, before %.0f", now.Kinds["fillers"], before.Kinds["fillers"], now.HarmS, before.HarmS)
	require.Greater(t, now.Kinds["fillers"], before.Kinds["fillers"]+0.01)
	require.Less(t, now.HarmS, before.HarmS)
}

// Load: as above. Symptom: fillers that press on all that serves wait beside idle
// processors, since each VM serves something. The decision that answers it: a tenth of
// the VMs is left to them as long as what serves has room elsewhere.
func TestKeptEmptyVMsServeFillersThatPressEverywhere(t *testing.T) {
	s := pressedScenario(t)
	spread, err := ParseVariant("spread", []byte(`{"keep_empty": 0}`))
	require.NoError(t, err)
	variants, err := Choose(nil)
	require.NoError(t, err)
	r, err := Compare(context.Background(), &s, Options{Variants: append(variants, spread), Seeds: pressedSeeds, First: 1, Workers: 4})
	require.NoError(t, err)
	now, before := r.Variants[0].Means.Kinds, r.Variants[1].Means.Kinds
	t.Logf("fillers %.3f, before %.3f; serving %.3f, before %.3f", now["fillers"], before["fillers"], now["serving"], before["serving"])
	require.Greater(t, now["fillers"], before["fillers"]+0.03)
	require.Greater(t, now["serving"], before["serving"]-0.01)
}

// Jobs of which a task ends its VMs cost others the work that is lost with each VM: three
// or four VMs a job, and not one each two seconds for as long as the load lasts.
func TestCrashingJobsAreGivenUp(t *testing.T) {
	s, err := Find("crashing-48")
	require.NoError(t, err)
	for seed := range uint64(2) {
		out := play(t, &s, Variants()[0], seed)
		t.Logf("%d jobs ended %d VMs; service %.3f, kinds %v", out.CrashingJobs, out.Crashes, out.Service, out.Kinds)
		require.Positive(t, out.CrashingJobs)
		require.LessOrEqual(t, out.Crashes, 5*out.CrashingJobs)
	}
}

// VMs that start again under their IDs cost what ran on them, and nothing more: a leader that
// takes a new start for the one before loses ends, and runs tasks again for as long as the
// load lasts.
func TestRestartsCostWhatRanThere(t *testing.T) {
	s, err := Find("restarts-48")
	require.NoError(t, err)
	calm := s
	calm.Faults = nil
	for seed := range uint64(2) {
		out, quiet := play(t, &s, Variants()[0], seed), play(t, &calm, Variants()[0], seed)
		t.Logf("%d restarts; service %.3f, without %.3f; starts %d, without %d; kinds %v", out.Restarts, out.Service, quiet.Service, out.Starts, quiet.Starts, out.Kinds)
		require.Positive(t, out.Restarts)
		require.Less(t, float64(out.Starts), 1.5*float64(quiet.Starts))
	}
}
