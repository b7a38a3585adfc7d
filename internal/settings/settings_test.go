package settings

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Every settings file under examples passes validation.
func TestExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.jsonc")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		_, err := Load(file)
		require.NoError(t, err)
	}
}

const validSettings = `{
  "name": "n1", "zone": "east", // a comment
  "listen": {"callers": "127.0.0.1:1", "admin": "127.0.0.1:2", "peers": "127.0.0.1:3", "operations": "127.0.0.1:4"},
  "platform": {"address": "127.0.0.1:5"},
}`

func TestDefaults(t *testing.T) {
	n, err := Parse("f", []byte(validSettings))
	require.NoError(t, err)
	require.Equal(t, int64(defaultNoticeMS), n.Drain.NoticeMS)
	require.Equal(t, int64(DefaultSessionMS), n.Leases.SessionMS)
	require.Equal(t, "info", n.Log.Level)
}

// Each invalid setting is rejected with file, line, field and fix.
func TestFaultsNameFieldAndFix(t *testing.T) {
	for _, c := range []struct{ from, to, want string }{
		{`"zone": "east"`, `"zonee": "east"`, `f:2: zonee: no such field; did you mean "zone"?`},
		{`"zone": "east"`, `"colour": "east"`, `f:2: colour: no such field; use one of`},
		{`"name": "n1"`, `"name": "n 1"`, `f:2: name: use 1 to 80 letters`},
		{`"name": "n1"`, `"name": 7`, `f:2: name: give a string, not a number`},
		{`"name": "n1"`, `"name": "n1", "name": "n2"`, `f:2: name: given twice; keep one`},
		{`"127.0.0.1:3"`, `"localhost:3"`, `f:3: listen.peers: give ip:port with an IP number`},
		{`"platform": {"address": "127.0.0.1:5"},`, ``, `f: platform.address: missing; give ip:port`},
		{`"platform": {`, `"leases": {"session_ms": 5}, "platform": {`, `f:4: leases.session_ms: give at least 2000`},
		{`"platform": {`, `"log": {"level": "loud"}, "platform": {`, `f:4: log.level: use debug, info, warning or error`},
		{`}`, ``, `settings are JSON`},
	} {
		_, err := Parse("f", []byte(strings.Replace(validSettings, c.from, c.to, 1)))
		require.ErrorContains(t, err, c.want)
	}
	_, err := Load(filepath.Join(t.TempDir(), "none"))
	require.ErrorIs(t, err, os.ErrNotExist)
}

// No input crashes the parser, and accepted settings pass validation.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"listen": []}`))
	f.Add([]byte(`{"name": {"a": 1}, "name": 2}`))
	f.Add([]byte(`[]`))
	f.Add([]byte("{\n// only a comment\n}"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		n, err := Parse("f", raw)
		if err == nil && (n.Name == "" || n.Platform.Address == "") {
			t.Fatalf("Parse accepted settings without name or platform address: %q", raw)
		}
	})
}
