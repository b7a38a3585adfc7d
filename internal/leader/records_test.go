package leader

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/batch"
)

// Guards against records of older processes, and of deployments that do not divide room by zones,
// that can't be read or that name a zone: absent means unknown.
func TestZoneOfAJobRecordMayBeAbsent(t *testing.T) {
	r := NewJobRecord(&batch.Queue{Name: "q", Pool: "p"}, &batch.Job{Steps: []batch.Step{{Tasks: 1}}}, 1)
	raw, err := json.Marshal(r)
	require.NoError(t, err)
	require.NotContains(t, string(raw), "zone")
	decoded, err := decodeJob("id", raw)
	require.NoError(t, err)
	sub := decoded.submission(0)
	require.Empty(t, sub.Zone)
	r.Zone = "a"
	raw, err = json.Marshal(r)
	require.NoError(t, err)
	decoded, err = decodeJob("id", raw)
	require.NoError(t, err)
	sub = decoded.submission(0)
	require.Equal(t, "a", sub.Zone)
}
