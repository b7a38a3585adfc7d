// Package configcheck checks a configuration before it is sent: what is wrong, what can never
// match, which limits contradict each other, and what differs from the version in force. It is
// pure: it reads no file, network or clock. It checks the product's own document and, through
// the types of package batch, the queues that another package has decoded.
package configcheck

import (
	"cmp"
	"encoding/json"
	"slices"
)

// Severity is how bad a finding is.
type Severity string

// The severities.
const (
	// Error: the configuration is refused, or part of it can't do what it says.
	Error Severity = "error"
	// Warning: the configuration is accepted, but part of it has probably not the effect that
	// was meant.
	Warning Severity = "warning"
)

// Finding is one fault of a configuration.
type Finding struct {
	Severity Severity `json:"severity"`
	// Path is the field, such as services.orders.timeout_ms; empty for the whole document.
	Path    string `json:"path"`
	Problem string `json:"problem"`
	// Mend is what to do about it.
	Mend string `json:"mend"`
}

// ChangeKind is how a field differs from the version in force.
type ChangeKind string

// The kinds of change.
const (
	Added   ChangeKind = "added"
	Removed ChangeKind = "removed"
	Changed ChangeKind = "changed"
)

// Change is one difference from the version in force.
type Change struct {
	// Path is the field; entries of a list are given by their names: routes[r-1].attempts.
	Path string     `json:"path"`
	Kind ChangeKind `json:"kind"`
	// Old and New are the values; Old is absent for an added field, New for a removed one.
	Old json.RawMessage `json:"old,omitempty"`
	New json.RawMessage `json:"new,omitempty"`
	Effect
}

// Effect says on what a change takes effect.
type Effect struct {
	// RunningWork is set if work that was accepted before the change is affected.
	RunningWork bool   `json:"running_work"`
	Text        string `json:"effect"`
}

// Report is the result of a check.
type Report struct {
	// Version is the version of the checked configuration, if it tells one.
	Version *int64 `json:"version,omitempty"`
	// AgainstVersion is the version that it was compared with, if there was one.
	AgainstVersion *int64 `json:"against_version,omitempty"`
	// Findings are ordered: errors first, then by path.
	Findings []Finding `json:"findings"`
	// Changes are ordered by path; nil if there was nothing to compare with.
	Changes []Change `json:"changes"`
	// Errors and Warnings count the findings, those left out included.
	Errors   int `json:"errors"`
	Warnings int `json:"warnings"`
	// Omitted is the number of findings left out.
	Omitted int `json:"omitted,omitempty"`
}

// maxFindings bounds the findings of a report. What is beyond it is counted.
const maxFindings = 500

// NewReport returns a report with the findings in their order, without repeated ones.
func NewReport(findings []Finding) *Report {
	findings = slices.Clone(findings)
	slices.SortFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Severity, b.Severity), cmp.Compare(a.Path, b.Path),
			cmp.Compare(a.Problem, b.Problem), cmp.Compare(a.Mend, b.Mend))
	})
	findings = slices.Compact(findings)
	r := &Report{Findings: []Finding{}}
	for _, f := range findings {
		if f.Severity == Error {
			r.Errors++
		} else {
			r.Warnings++
		}
	}
	kept := min(len(findings), maxFindings)
	r.Findings = append(r.Findings, findings[:kept]...)
	r.Omitted = len(findings) - kept
	return r
}

// hasErrors reports whether any finding is an error.
func hasErrors(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Severity == Error })
}
