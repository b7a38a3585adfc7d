package command

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rattanwall/rattanwall/internal/config"
	"github.com/rattanwall/rattanwall/internal/configcheck"
)

var checkedDocument = `{"operators":{"ann":{"token_sha256":"` + config.HashToken("ann") + `"}},"teams":{"a":{"token_sha256":"` + config.HashToken("a") + `"}},"services":{"s":{"team":"a","timeout_ms":500}},"weights":{}}`

// runCheck runs "config check" with the arguments and returns its output and exit code.
func runCheck(t *testing.T, stdin string, args ...string) (out string, code int, err error) {
	t.Helper()
	root := newRoot()
	var b strings.Builder
	root.SetOut(&b)
	root.SetErr(&b)
	root.SetIn(strings.NewReader(stdin))
	root.SetArgs(append([]string{"config", "check"}, args...))
	err = root.Execute()
	return b.String(), exitCode(err), err
}

func writeFile(t *testing.T, content string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(file, []byte(content), 0o600))
	return file
}

// serveAdmin returns the address of an administration API that answers calls for the
// configuration with f.
func serveAdmin(t *testing.T, f http.HandlerFunc) string {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config", f)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func answer(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(body))
	}
}

// Guards against a pipeline that goes on with a faulty configuration, or stops at a good one.
func TestConfigCheckExitCodes(t *testing.T) {
	good, warned, faulty := writeFile(t, "// comment\n"+checkedDocument), writeFile(t, `{}`), writeFile(t, `{"weight":1}`)
	platformConfig, err := os.ReadFile("../../platform/testdata/config.json")
	require.NoError(t, err)
	onPlatform := writeFile(t, string(platformConfig))
	next := writeFile(t, strings.Replace(string(platformConfig), `"version":7`, `"version":8`, 1))
	versioned := writeFile(t, `{"version":3,"document":`+checkedDocument+`}`)
	patch := writeFile(t, `{"services":{"s":{"timeout_ms":400,}}}`)
	for _, c := range []struct {
		want int
		args []string
	}{
		{exitOK, []string{good}},
		{exitOK, []string{warned}},
		{exitFailed, []string{warned, "--fail-on-warnings"}},
		{exitOK, []string{good, "--fail-on-warnings"}},
		{exitFailed, []string{faulty}},
		{exitFailed, []string{onPlatform}},
		{exitOK, []string{versioned, "--against", good}},
		{exitOK, []string{patch, "--patch", "--against", versioned}},
		{exitOK, []string{patch, "--patch", "--against", versioned, "--version", "3"}},
		{exitFailed, []string{patch, "--patch", "--against", versioned, "--version", "2"}},
		{exitFailed, []string{patch, "--patch", "--against", warned}},
		{exitOK, []string{onPlatform, "--platform"}},
		{exitOK, []string{next, "--platform", "--against", onPlatform}},
		{exitFailed, []string{onPlatform, "--platform", "--against", next}},
		{exitFailed, []string{good, "--platform"}},

		{exitUsage, []string{}},
		{exitUsage, []string{good, "--against", good + ".missing"}},
		{exitUsage, []string{good + ".missing"}},
		{exitUsage, []string{good, "--in-force", "--against", good}},
		{exitUsage, []string{"-", "--against", "-"}},
		{exitUsage, []string{onPlatform, "--platform", "--in-force"}},
		{exitUsage, []string{onPlatform, "--platform", "--patch"}},
		{exitUsage, []string{patch, "--patch"}},
		{exitUsage, []string{good, "--version", "3"}},
		{exitUsage, []string{patch, "--patch", "--against", good, "--version", "3"}},
		{exitUsage, []string{next, "--platform", "--against", writeFile(t, `{"version"`)}},
		{exitUsage, []string{good, "--against", writeFile(t, `[]`)}},
	} {
		out, code, err := runCheck(t, "", c.args...)
		require.Equal(t, c.want, code, "%v: %v\n%s", c.args, err, out)
	}
	_, code, err := runCheck(t, checkedDocument, "-", "--against", good)
	require.Equal(t, exitOK, code, err)
}

// Guards against a report that programs can't read, or that differs from call to call.
func TestConfigCheckPrintsJSON(t *testing.T) {
	file, against := writeFile(t, `{"teams":{"b":{},"a":{}},"weight":1}`), writeFile(t, `{"version":3,"document":`+checkedDocument+`}`)
	first, code, _ := runCheck(t, "", file, "--against", against, "--json")
	require.Equal(t, exitFailed, code)
	var r configcheck.Report
	require.NoError(t, json.Unmarshal([]byte(first), &r))
	require.Equal(t, len(r.Findings), r.Errors+r.Warnings)
	require.EqualValues(t, 3, *r.AgainstVersion)
	require.NotEmpty(t, r.Changes)
	for range 5 {
		again, _, _ := runCheck(t, "", file, "--against", against, "--json")
		require.Equal(t, first, again)
	}
}

func TestConfigCheckReadsTheVersionInForce(t *testing.T) {
	address := serveAdmin(t, answer(`{"version":3,"document":`+checkedDocument+`}`))
	patch := writeFile(t, `{"services":{"s":{"timeout_ms":400}}}`)
	out, code, err := runCheck(t, "", patch, "--patch", "--version", "3", "--in-force", "--admin", address)
	require.Equal(t, exitOK, code, err)
	require.Contains(t, out, "services.s.timeout_ms: 500 -> 400")
	require.Contains(t, out, "version 3 against version 3: 0 errors")

	fresh := serveAdmin(t, answer(`{"version":0,"document":null}`))
	out, code, err = runCheck(t, "", writeFile(t, checkedDocument), "--patch", "--in-force", "--admin", fresh)
	require.Equal(t, exitOK, code, err)
	require.Contains(t, out, "added    services.s")
}

// Guards against a patch that was checked against a version that is not in force any more: it is
// reported, as the node would refuse it.
func TestConfigCheckReportsAnOutdatedBaseVersion(t *testing.T) {
	version := "3"
	address := serveAdmin(t, func(w http.ResponseWriter, r *http.Request) {
		answer(`{"version":`+version+`,"document":`+checkedDocument+`}`)(w, r)
	})
	args := []string{writeFile(t, `{"services":{"s":{"timeout_ms":400}}}`), "--patch", "--version", "3", "--in-force", "--admin", address}
	_, code, _ := runCheck(t, "", args...)
	require.Equal(t, exitOK, code)
	version = "4"
	out, code, _ := runCheck(t, "", args...)
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "made against version 3, but version 4 is in force")
}

// Guards against an answer that is taken for the configuration in force and is not, and against
// exit codes that a pipeline takes for the check's result.
func TestConfigCheckWithoutTheVersionInForceIsNotMade(t *testing.T) {
	whole := `{"version":3,"document":` + checkedDocument + `}`
	away := httptest.NewServer(http.NotFoundHandler())
	awayAddress := away.Listener.Addr().String()
	away.Close()
	for name, address := range map[string]string{
		"away": awayAddress,
		"cut off": serveAdmin(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "1000")
			answer(whole[:len(whole)/2])(w, r)
		}),
		"refused": serveAdmin(t, func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(`{"error":"store_unavailable","outcome":"not-run"}`))
		}),
		"unauthorized": serveAdmin(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusUnauthorized)
			_, _ = w.Write([]byte(`{"error":"unauthorized"}`))
		}),
		"no API":      serveAdmin(t, answer(`{}`)),
		"no document": serveAdmin(t, answer(`{"version":3,"document":[]}`)),
		"no JSON":     serveAdmin(t, answer(`<html>`)),
		"empty":       serveAdmin(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) }),
	} {
		out, code, err := runCheck(t, "", writeFile(t, checkedDocument), "--in-force", "--admin", address, "--json")
		require.Equal(t, exitUsage, code, "%s: %v", name, err)
		require.ErrorContains(t, err, "not checked", name)
		require.NotContains(t, out, `"findings"`, name)
	}
}
