package command

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/experiment"
)

// runExperiment runs the experiment command and returns its output.
func runExperiment(t *testing.T, args ...string) (string, error) {
	t.Helper()
	root := newRoot()
	var out strings.Builder
	root.SetOut(&out)
	root.SetArgs(append([]string{"experiment"}, args...))
	err := root.Execute()
	return out.String(), err
}

// Invalid input ends with exit code 2 and an error that names the fix, and writes no
// output.
func TestExperimentRefusesBadInput(t *testing.T) {
	dir := t.TempDir()
	broken := filepath.Join(dir, "broken.jsonc")
	require.NoError(t, os.WriteFile(broken, []byte(`{"name": "x", "fleet": {"vms": 99999999}, "nope": 1`), 0o600))
	plot := filepath.Join(dir, "plot.svg")
	for want, args := range map[string][]string{
		"name a scenario: ":           {},
		"give the path of a file":     {"no-such"},
		"unexpected EOF":              {broken},
		"--seeds: give 1 to":          {"faults-48", "--seeds", "0"},
		`no variant "best"; use`:      {"faults-48", "--compare", "best"},
		"--policy: give NAME=":        {"faults-48", "--policy", "peak"},
		"peak_limits: no such field":  {"faults-48", "--policy", `x={"peak_limits": 1}`},
		"room_limit: give a share":    {"faults-48", "--policy", `x={"room_limit": 7}`},
		"accepts at most 1 arg":       {"faults-48", "pressed-48"},
		"invalid argument \"many\" f": {"faults-48", "--seeds", "many"},
	} {
		out, err := runExperiment(t, append(args, "--plot", plot)...)
		require.ErrorContains(t, err, want)
		require.Equal(t, exitUsage, exitCode(err))
		require.Empty(t, out)
		require.NoFileExists(t, plot)
	}
}

// A small experiment prints its variants, writes the plot and encodes the report as
// JSON; --list names the scenarios.
func TestExperimentOutput(t *testing.T) {
	file := filepath.Join(t.TempDir(), "small.jsonc")
	raw, err := os.ReadFile("../experiment/scenarios/colocated-48.jsonc")
	require.NoError(t, err)
	small := strings.NewReplacer(`"vms": 48`, `"vms": 6`, `"jobs": 37`, `"jobs": 4`, `"load_s": 34`, `"load_s": 5`, `"after_s": 24`, `"after_s": 2`).Replace(string(raw))
	require.NoError(t, os.WriteFile(file, []byte(small), 0o600))
	plot := filepath.Join(t.TempDir(), "plot.png")
	out, err := runExperiment(t, file, "--seeds", "2", "--compare", "first-come", "--plot", plot)
	require.NoError(t, err)
	require.Contains(t, out, "first-come")
	require.FileExists(t, plot)
	out, err = runExperiment(t, file, "--seeds", "2", "--compare", "first-come", "--json")
	require.NoError(t, err)
	var r experiment.Report
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Len(t, r.Variants, 2)
	require.Len(t, r.Variants[1].Outcomes, 2)
	out, err = runExperiment(t, "--list")
	require.NoError(t, err)
	require.Contains(t, out, "colocated-750")
}
