package configcheck

import (
	"encoding/json"
	"flag"
	"os"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "write the golden files")

func TestChangesAreListedByPath(t *testing.T) {
	before := `{"version":7,"list":[{"name":"a","n":2},{"name":"b.c","n":1}],"same":{"x":1.0,"y":[1,{"z":2}]},"zones":["p"],"gone":{"e":1},"hash":{"token_sha256":"1"}}`
	after := `{"same":{"y":[1,{"z":2.0}],"x":1},"list":[{"name":"d","n":3},{"n":3,"name":"a"}],"zones":["p","q"],"version":8,"come":{"f":null},"hash":{"token_sha256":"2"}}`
	changes, err := Compare([]byte(before), []byte(after), nil)
	require.NoError(t, err)
	var lines []string
	for _, c := range changes {
		lines = append(lines, strings.Join([]string{string(c.Kind), c.Path, string(c.Old), string(c.New)}, " "))
	}
	require.Equal(t, []string{
		"added come.f  null",
		"removed gone.e 1 ",
		`changed hash.token_sha256 "(hidden)" "(hidden)"`,
		"changed list[a].n 2 3",
		`removed list[b.c] {"n":1,"name":"b.c"} `,
		`added list[d]  {"n":3,"name":"d"}`,
		"changed version 7 8",
		`changed zones ["p"] ["p","q"]`,
	}, lines)

	changes, err = Compare([]byte(before), []byte(before), nil)
	require.NoError(t, err)
	require.NotNil(t, changes)
	require.Empty(t, changes)
	_, err = Compare([]byte(`{`), []byte(after), nil)
	require.Error(t, err)
}

// Guards against hashes of credentials in the output of a pipeline.
func TestHashesAreHidden(t *testing.T) {
	changes, _, err := CompareDocuments([]byte(`{}`), []byte(validDocument))
	require.NoError(t, err)
	raw, err := json.Marshal(changes)
	require.NoError(t, err)
	require.NotContains(t, string(raw), operatorHash)
	require.NotContains(t, string(raw), teamHash)
}

// Guards against a number beyond 2^53 that is compared as a float.
func TestLargeNumbersAreComparedExactly(t *testing.T) {
	changes, err := Compare([]byte(`{"n":9007199254740993}`), []byte(`{"n":9007199254740992}`), nil)
	require.NoError(t, err)
	require.Len(t, changes, 1)
}

// Guards against a new field of the document whose changes are said to have no known effect.
func TestEachFieldHasAnEffect(t *testing.T) {
	var walk func(names []string, typ reflect.Type)
	walk = func(names []string, typ reflect.Type) {
		switch {
		case typ.Kind() == reflect.Struct:
			for name, f := range structFields(typ) {
				walk(append(names[:len(names):len(names)], name), f.Type)
			}
			return
		case typ.Kind() == reflect.Map:
			entry := append(names[:len(names):len(names)], "x")
			for _, kind := range []ChangeKind{Added, Removed} {
				require.NotEqual(t, unknownEffect, effectOf(DocumentEffects, entry, kind), entry)
			}
			walk(entry, typ.Elem())
			return
		}
		require.NotEqual(t, unknownEffect, effectOf(DocumentEffects, names, Changed), names)
	}
	walk(nil, documentType)
}

// Guards against a change of the output that pipelines read.
func TestGoldenReport(t *testing.T) {
	after := []byte(`{"operators":{"ann":{"token_sha256":"` + operatorHash + `"}},
		"teams":{"a":{"token_sha256":"` + teamHash + `","quota":{"milli_cpu":32000},"max_in_flight":20}},
		"services":{"s":{"team":"b","timeout_ms":40,"objective_ms":50,"max_in_flight":10}},
		"drained_vms":{"vm1":false},"weights":{"tial":5}}`)
	changes, more, err := CompareDocuments([]byte(validDocument), after)
	require.NoError(t, err)
	r := NewReport(append(CheckDocument(after), more...))
	version, against := int64(7), int64(7)
	r.Version, r.AgainstVersion, r.Changes = &version, &against, changes

	var text strings.Builder
	require.NoError(t, r.WriteText(&text))
	raw, err := json.MarshalIndent(r, "", "  ")
	require.NoError(t, err)
	golden(t, "testdata/report.txt", text.String())
	golden(t, "testdata/report.json", string(raw)+"\n")
}

func golden(t *testing.T, file, got string) {
	t.Helper()
	if *update {
		require.NoError(t, os.WriteFile(file, []byte(got), 0o600))
	}
	want, err := os.ReadFile(file)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}
