package scheduler

import (
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against policy files that reset the fields they do not name.
func TestPolicyFileChangesOnlyNamedFields(t *testing.T) {
	p, err := ReadPolicy("policy.jsonc", []byte(`{
		// Fillers leave more room.
		"room_limit": 0.9,
	}`))
	require.NoError(t, err)
	want := DefaultPolicy()
	want.RoomLimit = 0.9
	require.Equal(t, want, p)
}

// Guards against policy files whose misspelt or invalid fields are ignored.
func TestPolicyFileErrorsNameFieldAndFix(t *testing.T) {
	_, err := ReadPolicy("policy.jsonc", []byte(`{"room_limits": 0.9}`))
	require.ErrorContains(t, err, "room_limits")
	_, err = ReadPolicy("policy.jsonc", []byte(`{"room_limit": 1.5}`))
	require.ErrorContains(t, err, "room_limit")
	require.ErrorContains(t, err, "give a share from 0 to 1")
	_, err = LoadPolicy(filepath.Join(t.TempDir(), "absent.jsonc"))
	require.ErrorContains(t, err, "--policy")
}

// Guards against a deployment whose processes end at once, as its policy file is not accepted.
func TestDeployedPolicyFileIsAccepted(t *testing.T) {
	p, err := LoadPolicy("../../deploy/policy.jsonc")
	require.NoError(t, err)
	require.Equal(t, DefaultPolicy(), p)
	_, err = ReadPolicy("policy.jsonc", []byte(`{"duration_estimates": "mean"}`))
	require.ErrorContains(t, err, "duration_estimates: use ratio or regression")
}
