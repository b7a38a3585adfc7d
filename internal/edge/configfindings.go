package edge

import (
	"github.com/cockroachdb/errors"

	"github.com/rattanwall/rattanwall/internal/configcheck"
	"github.com/rattanwall/rattanwall/internal/eventlog"
)

// maxLoggedFindings bounds the findings in a line of the log.
const maxLoggedFindings = 5

// reportFindings checks a configuration that was just installed, and logs what was found. It does
// not change what is in force.
func (c *configuration) reportFindings(value []byte, version int64) {
	if c.check == nil {
		return
	}
	r, err := c.check(value)
	c.keepFindings(r, version)
	if err != nil {
		c.log.Warn("config_not_checked", err, eventlog.Fields{"version": version})
		return
	}
	if len(r.Findings) == 0 {
		return
	}
	shown := r.Findings[:min(len(r.Findings), maxLoggedFindings)]
	c.log.Warn("config_findings", errors.New(shown[0].Problem), eventlog.Fields{
		"version": version, "errors": r.Errors, "warnings": r.Warnings, "findings": describeFindings(shown),
	})
}

// keepFindings stores the findings of a version, nil if it could not be checked, unless a newer one
// was installed meanwhile.
func (c *configuration) keepFindings(r *configcheck.Report, version int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inForce.Load().Version == version {
		c.findings.Store(r)
	}
}

func describeFindings(findings []configcheck.Finding) []string {
	lines := make([]string, 0, len(findings))
	for _, f := range findings {
		lines = append(lines, string(f.Severity)+" "+f.Path+": "+f.Problem)
	}
	return lines
}

// countFindings returns the number of findings of the configuration in force.
func (c *configuration) countFindings() (errorCount, warnings int) {
	r := c.findings.Load()
	if r == nil {
		return 0, 0
	}
	return r.Errors, r.Warnings
}
