package configcheck

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/config"
)

var (
	operatorHash = config.HashToken("operator")
	teamHash     = config.HashToken("team")
)

// validDocument is a document without findings.
var validDocument = `{"operators":{"ann":{"token_sha256":"` + operatorHash + `"}},
	"teams":{"a":{"token_sha256":"` + teamHash + `","quota":{"milli_cpu":64000}}},
	"services":{"s":{"team":"a","zones":["z1"],"reserve":{"milli_cpu":8000},"objective_ms":50}},
	"watches":{"w":{"team":"a","service":"s","path":"/w"}},
	"drained_vms":{"vm1":true},"weights":{"tail":5}}`

// has reports whether a finding has the severity and path, and a problem with the text.
func has(findings []Finding, s Severity, path, problem string) bool {
	for _, f := range findings {
		if f.Severity == s && f.Path == path && strings.Contains(f.Problem, problem) {
			return true
		}
	}
	return false
}

func requireComplete(t *testing.T, findings []Finding) {
	t.Helper()
	for _, f := range findings {
		require.NotEmpty(t, f.Problem, f)
		require.NotEmpty(t, f.Mend, f)
		require.Contains(t, []Severity{Error, Warning}, f.Severity)
	}
}

func TestValidDocumentHasNoFindings(t *testing.T) {
	require.Empty(t, CheckDocument([]byte(validDocument)))
}

// Guards against faults of a document that the check overlooks, or reports at another field.
func TestFindingsOfDocuments(t *testing.T) {
	base := `"operators":{"ann":{"token_sha256":"` + operatorHash + `"}},"teams":{"a":{"token_sha256":"` + teamHash + `"}}`
	for _, c := range []struct {
		document string
		severity Severity
		path     string
		problem  string
	}{
		{"{\n\"teams\":{\n", Error, "", "malformed JSON in line 3"},
		{`{} x`, Error, "", "malformed JSON"},
		{"{\"drained_vms\":{\"\xff\":true}}", Error, "", "not UTF-8"},
		{`[]`, Error, "", "not a JSON object"},
		{`null`, Error, "", "null is not a value"},
		{`{"weight":{}}`, Error, "weight", "no such field"},
		{`{"Weights":{}}`, Error, "Weights", "no such field"},
		{`{"weights":{"tail":1,"tail":2}}`, Error, "weights.tail", "more than once"},
		{`{"weights":{"tail":"1"}}`, Error, "weights.tail", "not a number"},
		{`{"weights":{"tail":1e999}}`, Error, "weights.tail", "not a number"},
		{`{"weights":{"tail":-1}}`, Error, "weights", "not a valid value"},
		{`{"weights":null}`, Error, "weights", "null is not a value"},
		{`{"teams":{"a":{"token_sha256":"x"}}}`, Error, "teams.a.token_sha256", "not a valid value"},
		{`{"teams":{"a":{"token_sha256":"` + teamHash + `"},"a":{"token_sha256":"` + teamHash + `"}}}`, Error, "teams.a", "more than once"},
		{`{"teams":{"a":{"token_sha256":"` + teamHash + `"},"b":{"token_sha256":"` + teamHash + `"}}}`, Error, "teams.b.token_sha256", "same token"},
		{`{"services":{"s":{"team":"a"}}}`, Error, "services.s.team", `no team "a"`},
		{`{` + base + `,"services":{"s":{"team":"a","timeout_ms":1.5}}}`, Error, "services.s.timeout_ms", "not a whole number"},
		{`{` + base + `,"services":{"s":{"team":"a","timeout_ms":3600001}}}`, Error, "services.s.timeout_ms", "not a valid value"},
		{`{` + base + `,"services":{"s":{"team":"a","zones":"z1"}}}`, Error, "services.s.zones", "not a list"},
		{`{` + base + `,"services":{"s":{"team":"a","zones":["z1",2]}}}`, Error, "services.s.zones[1]", "not a string"},
		{`{` + base + `,"services":{"s":{"team":"a","open":1}}}`, Error, "services.s.open", "not a true or false"},
		{`{` + base + `,"watches":{"w":{"team":"a","service":"s","path":"/"}}}`, Error, "watches.w.service", `no service "s"`},
		{`{"drained_vms":{"` + strings.Repeat("v", maxDocumentBytes) + `":true}}`, Error, "", "bytes"},

		{`{}`, Warning, "operators", "no operators"},
		{`{"drained_vms":{"vm.1":false}}`, Warning, `drained_vms."vm.1"`, "no effect"},
		{`{` + base + `,"services":{"s":{"team":"a","timeout_ms":100,"objective_ms":101}}}`, Warning, "services.s.objective_ms", "above the timeout of 100 ms"},
		{`{` + base + `,"services":{"s":{"team":"a","objective_ms":10001}}}`, Warning, "services.s.objective_ms", "above the timeout of 10000 ms"},
		{`{` + base + `,"services":{"s":{"team":"a","zones":["z1",""]}}}`, Warning, "services.s.zones[1]", "empty name"},
		{`{` + base + `,"services":{"s":{"team":"a","zones":["z1","z1"]}}}`, Warning, "services.s.zones[1]", "listed already"},
		{`{"teams":{"a":{"token_sha256":"` + teamHash + `","quota":{"slots":1}}}}`, Warning, "teams.a.quota", "not enforced"},
		{`{"teams":{"a":{"token_sha256":"` + teamHash + `","max_in_flight":10}}}`, Warning, "teams.a.max_in_flight", "may use no service"},
		{`{"teams":{"a":{"token_sha256":"` + teamHash + `","max_in_flight":10}},"services":{"s":{"team":"a","max_in_flight":4},"t":{"team":"a","max_in_flight":5}}}`, Warning, "teams.a.max_in_flight", "take 9 together"},
		{`{"teams":{"a":{"token_sha256":"` + teamHash + `"},"b":{"token_sha256":"` + operatorHash + `"}},"services":{"s":{"team":"a"}},"watches":{"w":{"team":"b","service":"s","path":"/"}}}`, Warning, "watches.w.service", "not open to team"},
		{`{` + base + `,"services":{"s":{"team":"a"}},"watches":{"v":{"team":"a","service":"s","path":"/"},"w":{"team":"a","service":"s","path":"/"}}}`, Warning, "watches.w", `as watch "v"`},
		{`{` + base + `,"services":{"s":{"team":"a"}},"watches":{"w":{"team":"a","service":"s","path":"/","max_held":-1}}}`, Warning, "watches.w.max_held", "below 0"},
	} {
		findings := CheckDocument([]byte(c.document))
		require.True(t, has(findings, c.severity, c.path, c.problem), "%s: %v", shorten(c.document), findings)
		requireComplete(t, findings)
	}
}

// Guards against a warning about a team's limit that can be reached.
func TestReachableTeamLimitsAreNoFindings(t *testing.T) {
	for _, services := range []string{
		`{"s":{"team":"a"}}`,
		`{"s":{"team":"a","max_in_flight":10}}`,
		`{"s":{"team":"a","max_in_flight":4},"t":{"team":"b","open":true,"max_in_flight":6}}`,
		`{"s":{"team":"a","max_in_flight":9223372036854775807},"t":{"team":"a","max_in_flight":9223372036854775807}}`,
	} {
		document := `{"operators":{"ann":{"token_sha256":"` + operatorHash + `"}},"teams":{"a":{"token_sha256":"` + teamHash + `","max_in_flight":10},"b":{"token_sha256":"` + config.HashToken("b") + `"}},"services":` + services + `}`
		require.Empty(t, CheckDocument([]byte(document)), services)
	}
}

// Guards against a warning, which is a matter of opinion, where the configuration would be
// refused, and against findings that grow with the input without bound.
func TestReportIsOrderedAndBounded(t *testing.T) {
	var fields []string
	for i := range 2 * maxFindings {
		fields = append(fields, fmt.Sprintf(`"x%04d":1`, i))
	}
	r := NewReport(CheckDocument([]byte(`{` + strings.Join(fields, ",") + `}`)))
	require.Len(t, r.Findings, maxFindings)
	require.Equal(t, 2*maxFindings, r.Errors)
	require.Equal(t, 1, r.Warnings)
	require.Equal(t, maxFindings+1, r.Omitted)
	require.Equal(t, "x0000", r.Findings[0].Path)

	f := Finding{Warning, "a", "p", "m"}
	require.Equal(t, []Finding{{Error, "b", "p", "m"}, f}, NewReport([]Finding{f, {Error, "b", "p", "m"}, f}).Findings)
}

// Guards against a patch that passes the check and is refused when it is sent.
func TestPatchesAreCheckedWithTheirResult(t *testing.T) {
	base := []byte(validDocument)
	for patch, path := range map[string]string{
		`[]`:                                     "",
		`null`:                                   "",
		`{"a`:                                    "",
		`{"weight":1}`:                           "weight",
		`{"teams":{"a":null}}`:                   "services.s.team",
		`{"services":{"s":{"timeout_ms":-1}}}`:   "services.s.timeout_ms",
		`{"services":{"s":{"open":1,"open":2}}}`: "services.s.open",
	} {
		_, findings := CheckPatch(base, []byte(patch))
		require.True(t, has(findings, Error, path, ""), "%s: %v", patch, findings)
		requireComplete(t, findings)
	}
	merged, findings := CheckPatch(base, []byte(`{"services":{"s":{"objective_ms":null,"timeout_ms":500}},"drained_vms":null}`))
	require.Empty(t, findings)
	changes, _, err := CompareDocuments(base, merged)
	require.NoError(t, err)
	require.Len(t, changes, 3)
}

func TestRemovalOfTheLastOperatorIsAWarning(t *testing.T) {
	merged, _ := CheckPatch([]byte(validDocument), []byte(`{"operators":{"ann":null}}`))
	_, findings, err := CompareDocuments([]byte(validDocument), merged)
	require.NoError(t, err)
	require.True(t, has(findings, Warning, "operators", "last operator"))
}

// checkAgreement fails if the check passes a document that the package config refuses.
func checkAgreement(t *testing.T, document []byte) {
	t.Helper()
	findings := CheckDocument(document)
	requireComplete(t, findings)
	d, err := config.Decode(document)
	refused := err != nil || len(d.Validate()) > 0
	if refused && !hasErrors(findings) {
		t.Fatalf("no error found in a refused document %s: %v %v", document, err, d.Validate())
	}
}

// checkPatchAgreement fails if the check passes a patch that the package config refuses.
func checkPatchAgreement(t *testing.T, patch []byte) {
	t.Helper()
	head := config.Head{Version: 1, Document: json.RawMessage(validDocument)}
	_, findings := CheckPatch(head.Document, patch)
	requireComplete(t, findings)
	if _, err := head.Apply(config.Patch{BaseVersion: 1, Body: patch}, time.Unix(1, 0)); err != nil && !hasErrors(findings) {
		t.Fatalf("no error found in a refused patch %s: %v", patch, err)
	}
}

// fragments are put together to documents that are often valid and often nearly so.
var fragments = []string{
	`{`, `}`, `[`, `]`, `,`, `:`, `null`, `true`, `-1`, `1`, `1.5`, `1e400`, `99999999999999999999`, `""`, `"x"`, `"z1"`, `"/"`, `"a"`, `"b c"`,
	`"operators"`, `"teams"`, `"services"`, `"watches"`, `"drained_vms"`, `"weights"`, `"token_sha256"`, `"` + teamHash + `"`, `"team"`, `"zones"`,
	`"timeout_ms"`, `"quota"`, `"milli_cpu"`, `"tail"`, `"Tail"`, `"\u0074ail"`, `"path"`,
}

// mutate replaces, removes or inserts a few pieces of a document.
func mutate(rng *rand.Rand, document string) string {
	for range 1 + rng.IntN(3) {
		from := rng.IntN(len(document) + 1)
		if next := strings.IndexAny(document[from:], `"{}[],:`); next >= 0 && rng.IntN(4) > 0 {
			from += next
		}
		to := min(from+rng.IntN(12), len(document))
		document = document[:from] + fragments[rng.IntN(len(fragments))] + document[to:]
	}
	return document
}

// replaceValue replaces one value of a document, so that it stays JSON.
func replaceValue(rng *rand.Rand, v any) any {
	values := []any{nil, true, -1.0, 1.5, 1e300, 4e9, "", "x", "a", "/", teamHash, []any{}, []any{"z1", 1.0}, map[string]any{}, map[string]any{"x": 1.0}}
	fields, ok := v.(map[string]any)
	if !ok || len(fields) == 0 || rng.IntN(5) == 0 {
		return values[rng.IntN(len(values))]
	}
	names := make([]string, 0, len(fields))
	for n := range fields {
		names = append(names, n)
	}
	name := names[rng.IntN(len(names))]
	switch rng.IntN(8) {
	case 0:
		delete(fields, name)
	case 1:
		fields[name+"x"] = fields[name]
	default:
		fields[name] = replaceValue(rng, fields[name])
	}
	return fields
}

// Guards against a document or patch that passes the check and is refused when it is sent.
func TestPassedDocumentsAreAccepted(t *testing.T) {
	rng := rand.New(rand.NewPCG(14, 1))
	passed, refused := 0, 0
	for range 4_000 {
		checkAgreement(t, []byte(mutate(rng, validDocument)))
		var v any
		require.NoError(t, json.Unmarshal([]byte(validDocument), &v))
		raw, err := json.Marshal(replaceValue(rng, v))
		require.NoError(t, err)
		checkAgreement(t, raw)
		checkPatchAgreement(t, raw)
		if hasErrors(CheckDocument(raw)) {
			refused++
		} else {
			passed++
		}
	}
	require.Greater(t, passed, 100)
	require.Greater(t, refused, 100)
}

// Guards against malformed input that the check passes, or that ends it.
func FuzzCheckDocument(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte(`{"teams":{"a":{"token_sha256":"` + teamHash + `","token_sha256":1}}}`))
	f.Add([]byte(`{"services":{"s":{"zones":["z1",null],"reserve":{"milli_cpu":1e3}}}}`))
	f.Add([]byte(`{"a`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		checkAgreement(t, raw)
		checkPatchAgreement(t, raw)
		if changes, _, err := CompareDocuments([]byte(validDocument), raw); err == nil {
			require.NotNil(t, changes)
		}
	})
}
