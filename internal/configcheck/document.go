package configcheck

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	jsonpatch "github.com/evanphx/json-patch/v5"

	"github.com/rattanwall/rattanwall/internal/config"
	"github.com/rattanwall/rattanwall/internal/hosting"
)

var documentType = reflect.TypeFor[config.Document]()

// CheckDocument finds the faults of the product's own configuration document. A document without
// an error is accepted by the package config.
func CheckDocument(raw []byte) []Finding {
	findings := CheckSyntax(raw, documentType, Syntax{})
	if len(raw) > maxDocumentBytes {
		findings = append(findings, Finding{
			Error, "", fmt.Sprintf("the document has %d bytes, %d are accepted", len(raw), maxDocumentBytes), "remove unused teams or services",
		})
	}
	var d config.Document
	if err := json.Unmarshal(raw, &d); err != nil {
		if !hasErrors(findings) {
			findings = append(findings, malformed(raw, err))
		}
		return findings
	}
	for _, fault := range d.Validate() {
		findings = append(findings, fromFault(fault))
	}
	return append(findings, checkDocument(d)...)
}

// maxDocumentBytes is the size of a document beyond which no patch is accepted.
const maxDocumentBytes = hosting.MaxValueBytes / 2

// fromFault converts a fault of config.Document.Validate, which has the form
// "path: problem; mend" or "path: mend".
func fromFault(fault string) Finding {
	path, rest, ok := strings.Cut(fault, ": ")
	if !ok {
		return Finding{Error, "", fault, "correct it"}
	}
	problem, mend, ok := strings.Cut(rest, "; ")
	if !ok {
		problem, mend = "not a valid value", rest
	}
	return Finding{Error, path, problem, mend}
}

// checkDocument finds what the validation accepts: entries without effect, and limits that
// contradict each other.
func checkDocument(d config.Document) []Finding {
	c := &documentCheck{Document: d}
	if len(d.Operators) == 0 {
		c.warn("operators", "no operators: only the bootstrap token may change the configuration", "add the credential of an operator")
	}
	for _, name := range slices.Sorted(maps.Keys(d.Services)) {
		c.service(joinPath("services", name), d.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(d.Teams)) {
		c.team(name, d.Teams[name])
	}
	c.watches()
	for _, name := range slices.Sorted(maps.Keys(d.DrainedVMs)) {
		if !d.DrainedVMs[name] {
			c.warn(joinPath("drained_vms", name), "false has no effect: the VM is not drained without the entry either", "remove the entry, or set it to true")
		}
	}
	return c.findings
}

type documentCheck struct {
	config.Document
	findings []Finding
}

func (c *documentCheck) warn(path, problem, mend string) {
	c.findings = append(c.findings, Finding{Warning, path, problem, mend})
}

func (c *documentCheck) service(path string, s config.Service) {
	if s.ObjectiveMS > s.Timeout() {
		c.warn(path+".objective_ms", fmt.Sprintf("%d ms is above the timeout of %d ms: requests end before they miss it", s.ObjectiveMS, s.Timeout()), "raise timeout_ms or lower objective_ms")
	}
	seen := map[string]bool{}
	for i, zone := range s.Zones {
		zonePath := fmt.Sprintf("%s.zones[%d]", path, i)
		switch {
		case zone == "":
			c.warn(zonePath, "no availability zone has an empty name", "remove it, or name the zone")
		case seen[zone]:
			c.warn(zonePath, fmt.Sprintf("availability zone %q is listed already", zone), "remove it")
		}
		seen[zone] = true
	}
}

// team compares the team's limits with those of the services that it may use, and finds limits
// that are not enforced.
func (c *documentCheck) team(name string, t config.Team) {
	path := joinPath("teams", name)
	if t.Quota.Slots > 0 || t.Quota.Connections > 0 {
		c.warn(path+".quota", "slots and connections of a quota are not enforced: tasks use neither", "use max_in_flight to limit the team's requests")
	}
	if t.MaxInFlight <= 0 {
		return
	}
	var sum int64
	usable := 0
	for _, s := range c.Services {
		if s.Team != name && !s.Open {
			continue
		}
		usable++
		if s.MaxInFlight <= 0 || sum > t.MaxInFlight {
			return
		}
		sum += min(s.MaxInFlight, t.MaxInFlight)
	}
	switch {
	case usable == 0:
		c.warn(path+".max_in_flight", "the team may use no service, so that the limit never applies", "open a service to it, or remove the limit")
	case sum < t.MaxInFlight:
		c.warn(path+".max_in_flight", fmt.Sprintf("%d is never reached: the services that the team may use take %d together", t.MaxInFlight, sum), "lower it, or raise max_in_flight of the services")
	}
}

func (c *documentCheck) watches() {
	type key struct{ team, service, path string }
	first := map[key]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Watches)) {
		w := c.Watches[name]
		path := joinPath("watches", name)
		if s, ok := c.Services[w.Service]; ok && s.Team != w.Team && !s.Open {
			c.warn(path+".service", fmt.Sprintf("service %q is not open to team %q: its requests are refused", w.Service, w.Team), "set open at the service, or name another one")
		}
		if w.MaxHeld < 0 {
			c.warn(path+".max_held", "below 0", "give 0 or more")
		}
		k := key{w.Team, w.Service, w.Path}
		if other, ok := first[k]; ok {
			c.warn(path, fmt.Sprintf("the same team, service and path as watch %q", other), "keep one of them")
			continue
		}
		first[k] = name
	}
}

// CheckPatch finds the faults of a JSON merge patch and of the document that results when it is
// applied to base, and returns that document, or nil if there is none.
func CheckPatch(base, patch []byte) (merged []byte, findings []Finding) {
	findings = CheckSyntax(patch, documentType, Syntax{AllowNull: true})
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(patch, &fields); err != nil || fields == nil {
		return nil, append(findings, Finding{Error, "", "the patch is no JSON object", "give an object with the fields to change"})
	}
	merged, err := jsonpatch.MergePatch(base, patch)
	if err != nil {
		return nil, append(findings, Finding{Error, "", "the patch can't be applied: " + err.Error(), "give a JSON merge patch (RFC 7396)"})
	}
	return merged, append(findings, CheckDocument(merged)...)
}

// CompareDocuments returns the differences between two documents, and warns of those that lock
// operators out.
func CompareDocuments(before, after []byte) ([]Change, []Finding, error) {
	changes, err := Compare(before, after, DocumentEffects)
	if err != nil {
		return nil, nil, err
	}
	var o, n config.Document
	if json.Unmarshal(before, &o) != nil || json.Unmarshal(after, &n) != nil {
		return changes, nil, nil
	}
	var findings []Finding
	if len(o.Operators) > 0 && len(n.Operators) == 0 {
		findings = append(findings, Finding{Warning, "operators", "the last operator is removed: only nodes with a bootstrap token let anybody change the configuration", "keep one operator"})
	}
	return changes, findings, nil
}

const notRead = "none: kept and shown, read by no decision of this version"

// DocumentEffects say on what changes of the product's own document take effect.
var DocumentEffects = []EffectRule{
	{"operators.*", "", Effect{false, "next administration calls"}},
	{"operators.*.token_sha256", "", Effect{false, "next administration calls; the old token is refused"}},
	{"teams.*", Added, Effect{false, "next requests and jobs of the team"}},
	{"teams.*", Removed, Effect{true, "next requests are refused; accepted jobs go on without a quota"}},
	{"teams.*.token_sha256", "", Effect{false, "next requests and calls; the old token is refused"}},
	{"teams.*.weight", "", Effect{false, notRead}},
	{"teams.*.quota", "", Effect{true, quotaEffect}},
	{"teams.*.quota.milli_cpu", "", Effect{true, quotaEffect}},
	{"teams.*.quota.memory_mb", "", Effect{true, quotaEffect}},
	{"teams.*.quota.accelerators", "", Effect{true, quotaEffect}},
	{"teams.*.quota.slots", "", Effect{false, notRead}},
	{"teams.*.quota.connections", "", Effect{false, notRead}},
	{"teams.*.max_in_flight", "", Effect{false, inFlightEffect}},
	{"services.*", Added, Effect{true, "next requests; its reserve applies to the next placements of tasks"}},
	{"services.*", Removed, Effect{true, "next requests are answered not_found, those that wait for a slot get none; its reserve is free for the next tasks"}},
	{"services.*.team", "", Effect{false, "next requests"}},
	{"services.*.open", "", Effect{false, "next requests"}},
	{"services.*.zones", "", Effect{true, "next requests and placements of tasks; requests in flight end where they are"}},
	{"services.*.reserve", "", Effect{true, reserveEffect}},
	{"services.*.reserve.*", "", Effect{true, reserveEffect}},
	{"services.*.timeout_ms", "", Effect{false, "next requests"}},
	{"services.*.max_body_bytes", "", Effect{false, "next requests"}},
	{"services.*.max_in_flight", "", Effect{false, inFlightEffect}},
	{"services.*.objective_ms", "", Effect{false, notRead}},
	{"watches.*", "", Effect{false, notRead}},
	{"watches.*.*", "", Effect{false, notRead}},
	{"drained_vms.*", Removed, Effect{true, "the VM gets new work again"}},
	{"drained_vms.*", "", Effect{true, "true: at once, tasks are checkpointed and move; false: the VM gets new work again"}},
	{"weights.*", "", Effect{false, notRead}},
}

const (
	quotaEffect    = "next placements, also of accepted jobs; running tasks count and go on"
	inFlightEffect = "next requests; those in flight count and go on"
	reserveEffect  = "next placements, also of accepted jobs; running tasks go on"
)
