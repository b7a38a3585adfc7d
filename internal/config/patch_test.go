package config

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/errkind"
)

var hash = HashToken("t")

func apply(t *testing.T, h Head, id, body string) Head {
	t.Helper()
	next, err := h.Apply(Patch{BaseVersion: h.Version, ID: id, Author: "ann", Body: json.RawMessage(body)}, time.Unix(1, 0))
	require.NoError(t, err)
	return next
}

// A patch whose response is lost is sent again with its original base version.
// Comparing only versions would reject it although it took effect, or apply it twice.
func TestRepeatedPatchIsRecognised(t *testing.T) {
	one := apply(t, Head{}, "p1", `{"weights":{"tail":1}}`)
	two := apply(t, one, "p2", `{"weights":{"tail":2}}`)
	again, err := two.Apply(Patch{BaseVersion: 0, ID: "p1", Body: json.RawMessage(`{"weights":{"tail":1}}`)}, time.Unix(2, 0))
	require.NoError(t, err)
	require.Equal(t, two, again)
	_, err = two.Apply(Patch{BaseVersion: 2, ID: "p1", Body: json.RawMessage(`{"weights":{"tail":9}}`)}, time.Unix(2, 0))
	require.True(t, errkind.Is(err, errkind.AlreadyExists), "another patch under the same id")
}

// The error for an outdated base version names the conflicting change and its author.
func TestVersionConflictNamesConflictingChange(t *testing.T) {
	one := apply(t, Head{}, "p1", `{"weights":{"tail":1}}`)
	_, err := one.Apply(Patch{BaseVersion: 0, ID: "p2", Body: json.RawMessage(`{}`)}, time.Unix(2, 0))
	require.True(t, errkind.Is(err, errkind.VersionConflict))
	require.ErrorContains(t, err, "version 1 was made by ann")
}

// An invalid patch is rejected as a whole with an error that names the field and the
// fix, and leaves the head unchanged.
func TestFaultyPatches(t *testing.T) {
	base := apply(t, Head{}, "p1", `{"teams":{"a":{"token_sha256":"`+hash+`"}},"services":{"s":{"team":"a"}}}`)
	for body, want := range map[string]string{
		`[]`:                              "must be a JSON object",
		`{"weight":1}`:                    "unknown field",
		`{"services":{"x":{"team":"b"}}}`: `services.x.team: no team "b"`,
		`{"teams":{"a":null}}`:            `services.s.team: no team "a"`,
		`{"teams":{"b":{"token_sha256":"` + hash + `"}}}`:                 "same token as teams.a",
		`{"watches":{"w":{"team":"a","service":"s","path":"x"}}}`:         "watches.w.path: start it with '/'",
		`{"services":{"s":{"timeout_ms":-1}}}`:                            "services.s.timeout_ms",
		`{"operators":{"o o":{"token_sha256":"` + HashToken("o") + `"}}}`: `operators."o o"`,
	} {
		next, err := base.Apply(Patch{BaseVersion: 1, Body: json.RawMessage(body)}, time.Unix(2, 0))
		require.ErrorContains(t, err, want, body)
		require.Equal(t, base, next)
	}
}

// Each version that the history keeps can be restored, regardless of later changes.
func TestRevert(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	h := apply(t, Head{}, "p0", `{"teams":{"a":{"token_sha256":"`+hash+`"}}}`)
	documents := map[int64]string{h.Version: string(h.Document)}
	for i := range 80 {
		body := fmt.Sprintf(`{"drained_vms":{"v%d":true},"weights":{"tail":%d}}`, rng.IntN(6), rng.IntN(9))
		if rng.IntN(3) == 0 {
			body = fmt.Sprintf(`{"drained_vms":{"v%d":null}}`, rng.IntN(6))
		}
		h = apply(t, h, fmt.Sprint("p", i+1), body)
		documents[h.Version] = string(h.Document)
	}
	for version := h.Version - maxChanges; version <= h.Version; version++ {
		patch, err := h.RevertTo(version)
		require.NoError(t, err)
		restored := apply(t, h, fmt.Sprint("r", version), string(patch))
		require.JSONEq(t, documents[version], string(restored.Document))
	}
	_, err := h.RevertTo(h.Version - maxChanges - 1)
	require.True(t, errkind.Is(err, errkind.NotFound))
}

// Any patch is either rejected as a whole or produces a valid document.
func FuzzPatch(f *testing.F) {
	f.Add([]byte(`{"weights":{"tail":1}}`))
	f.Add([]byte(`{"teams":{"a":null},"services":{"s":{"zones":["x"]}}}`))
	f.Add([]byte(`{"a`))
	base := Head{Version: 1, Document: json.RawMessage(`{"teams":{"a":{"token_sha256":"` + hash + `"}},"services":{"s":{"team":"a"}},"weights":{}}`)}
	f.Fuzz(func(t *testing.T, body []byte) {
		next, err := base.Apply(Patch{BaseVersion: 1, Body: body}, time.Unix(2, 0))
		if err != nil {
			return
		}
		d, err := Decode(next.Document)
		if err != nil || len(d.Validate()) > 0 {
			t.Fatalf("patch %s produced invalid document %s: decode error %v, faults %v", body, next.Document, err, d.Validate())
		}
	})
}
