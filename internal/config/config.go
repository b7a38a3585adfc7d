// Package config defines the operators' configuration, validates it and applies
// patches to numbered versions. The whole configuration is one value in the platform's
// store, so a single conditional write makes a patch take effect everywhere or not at
// all.
package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"github.com/rattanwall/rattanwall/internal/model"
)

// Document is the configuration that operators patch.
type Document struct {
	// Operators maps a name to the credential of an operator, who may change anything.
	Operators map[string]Credential `json:"operators,omitempty"`
	// Teams maps a team's name to its credential, weight and limits.
	Teams map[string]Team `json:"teams,omitempty"`
	// Services maps a service's name to its owner, placement and limits.
	Services map[string]Service `json:"services,omitempty"`
	// Watches maps the name of a standing watch to the service path that it follows.
	Watches map[string]Watch `json:"watches,omitempty"`
	// DrainedVMs names the VMs that operators want emptied.
	DrainedVMs map[string]bool `json:"drained_vms,omitempty"`
	// Weights set the deployment's scheduling priorities.
	Weights Weights `json:"weights"`
}

// Credential holds the hash of a token.
type Credential struct {
	// TokenSHA256 is the SHA-256 of the token, in hex. Tokens are long and random, so
	// a fast hash does not make it practical to recover them from the configuration.
	TokenSHA256 string `json:"token_sha256"`
}

// Team is a group of users with a quota.
type Team struct {
	Credential
	// Weight is the team's relative share under contention; default 1.
	Weight float64 `json:"weight,omitempty"`
	// Quota limits the total resources of the team's running tasks; a zero field means
	// no limit.
	Quota model.Resources `json:"quota"`
	// MaxInFlight limits the team's concurrent requests at one node; 0 means no limit.
	MaxInFlight int64 `json:"max_in_flight,omitempty"`
}

// Service is a request service that targets provide.
type Service struct {
	// Team owns the service and may change it.
	Team string `json:"team"`
	// Zones limits the targets to these availability zones; empty means all.
	Zones []string `json:"zones,omitempty"`
	// Open allows callers of all teams to use the service.
	Open bool `json:"open,omitempty"`
	// Reserve is kept free of tasks on each VM that serves the service.
	Reserve model.Resources `json:"reserve"`
	// TimeoutMS limits a request that has no deadline of its own, in milliseconds;
	// default 10,000.
	TimeoutMS int64 `json:"timeout_ms,omitempty"`
	// MaxBodyBytes limits the size of a request body; default 1 MiB.
	MaxBodyBytes int64 `json:"max_body_bytes,omitempty"`
	// MaxInFlight limits the service's concurrent requests at one node, so that a slow
	// service cannot exhaust the capacity of others; 0 means no limit.
	MaxInFlight int64 `json:"max_in_flight,omitempty"`
	// ObjectiveMS is the latency objective of quick requests, in milliseconds.
	ObjectiveMS int64 `json:"objective_ms,omitempty"`
}

// Watch is a standing watch that a team declared.
type Watch struct {
	Team    string `json:"team"`
	Service string `json:"service"`
	// Path is the request path at the service, starting with '/'.
	Path string `json:"path"`
	// MaxHeld limits the connections that the watch holds open at one node.
	MaxHeld int64 `json:"max_held,omitempty"`
}

// Weights are the scheduling priorities, relative to each other.
type Weights struct {
	// Tail weighs the tail latency of services.
	Tail float64 `json:"tail"`
	// Throughput weighs completed batch work.
	Throughput float64 `json:"throughput"`
	// Evictions weighs each evicted task.
	Evictions float64 `json:"evictions"`
}

// Defaults and limits of a service's fields.
const (
	DefaultTimeoutMS    = 10_000
	DefaultMaxBodyBytes = 1 << 20
	maxTimeoutMS        = 3_600_000
	hashBytes           = sha256.Size
)

// Timeout returns TimeoutMS, or its default if unset.
func (s Service) Timeout() int64 {
	if s.TimeoutMS == 0 {
		return DefaultTimeoutMS
	}
	return s.TimeoutMS
}

// BodyLimit returns MaxBodyBytes, or its default if unset.
func (s Service) BodyLimit() int64 {
	if s.MaxBodyBytes == 0 {
		return DefaultMaxBodyBytes
	}
	return s.MaxBodyBytes
}

// InZone reports whether targets in an availability zone serve s.
func (s Service) InZone(zone string) bool { return model.InZones(s.Zones, zone) }

// HashToken returns the hex-encoded SHA-256 of a token, the form that is stored.
func HashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// Matches reports, in constant time, whether c holds the hash of token.
func (c Credential) Matches(token string) bool {
	return subtle.ConstantTimeCompare([]byte(c.TokenSHA256), []byte(HashToken(token))) == 1
}

// Validate returns every error in the document; each names the field and the fix.
func (d Document) Validate() []string {
	var faults []string
	addFault := func(format string, args ...any) { faults = append(faults, fmt.Sprintf(format, args...)) }
	hashes := map[string]string{}
	credential := func(field string, c Credential) {
		if b, err := hex.DecodeString(c.TokenSHA256); err != nil || len(b) != hashBytes {
			addFault("%s.token_sha256: give the SHA-256 of a token as 64 hex digits", field)
			return
		}
		if other := hashes[c.TokenSHA256]; other != "" {
			addFault("%s.token_sha256: same token as %s; give each its own", field, other)
		}
		hashes[c.TokenSHA256] = field
	}
	name := func(field, n string) {
		if !model.ValidName(n) {
			addFault("%s.%q: use 1 to 80 letters, digits, '-', '_' or '.'", field, n)
		}
	}
	for _, n := range sortedKeys(d.Operators) {
		name("operators", n)
		credential("operators."+n, d.Operators[n])
	}
	for _, n := range sortedKeys(d.Teams) {
		t := d.Teams[n]
		name("teams", n)
		credential("teams."+n, t.Credential)
		if t.Weight < 0 || t.Quota.IsNegative() || t.MaxInFlight < 0 {
			addFault("teams.%s: weight, quota and max_in_flight must be 0 or more", n)
		}
	}
	for _, n := range sortedKeys(d.Services) {
		name("services", n)
		faults = append(faults, d.validateService(n, d.Services[n])...)
	}
	for _, n := range sortedKeys(d.Watches) {
		w := d.Watches[n]
		name("watches", n)
		if _, ok := d.Services[w.Service]; !ok {
			addFault("watches.%s.service: no service %q; create it first or correct the name", n, w.Service)
		}
		if _, ok := d.Teams[w.Team]; !ok {
			addFault("watches.%s.team: no team %q; create it first or correct the name", n, w.Team)
		}
		if !strings.HasPrefix(w.Path, "/") {
			addFault("watches.%s.path: start it with '/'", n)
		}
	}
	if d.Weights.Tail < 0 || d.Weights.Throughput < 0 || d.Weights.Evictions < 0 {
		addFault("weights: each must be 0 or more")
	}
	return faults
}

func (d Document) validateService(n string, s Service) []string {
	var faults []string
	if _, ok := d.Teams[s.Team]; !ok {
		faults = append(faults, fmt.Sprintf("services.%s.team: no team %q; create it first or correct the name", n, s.Team))
	}
	if s.TimeoutMS < 0 || s.TimeoutMS > maxTimeoutMS {
		faults = append(faults, fmt.Sprintf("services.%s.timeout_ms: give 0 (default) to %d", n, maxTimeoutMS))
	}
	if s.MaxBodyBytes < 0 || s.MaxInFlight < 0 || s.ObjectiveMS < 0 || s.Reserve.IsNegative() {
		faults = append(faults, fmt.Sprintf("services.%s: max_body_bytes, max_in_flight, objective_ms and reserve must be 0 or more", n))
	}
	return faults
}

func sortedKeys[V any](m map[string]V) []string {
	names := make([]string, 0, len(m))
	for n := range m {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}

// Change records one accepted patch.
type Change struct {
	Version int64 `json:"version"`
	// PatchID is chosen by the sender of the patch, so that a repeated patch is
	// recognised.
	PatchID string `json:"patch_id"`
	// Author is the operator or team whose credential was used.
	Author string `json:"author"`
	// AtUnixMS is the time of day at the accepting node, in Unix milliseconds.
	AtUnixMS int64 `json:"at_unix_ms"`
	// Patch is the JSON merge patch; Reverse undoes it.
	Patch   json.RawMessage `json:"patch"`
	Reverse json.RawMessage `json:"reverse"`
}

// Head is the value in the store: the document, its version and the most recent
// changes. The history is stored with the document so that both change in one write,
// which cannot succeed for one and fail for the other.
type Head struct {
	Version  int64           `json:"version"`
	Document json.RawMessage `json:"document"`
	Changes  []Change        `json:"changes,omitempty"`
}

// maxChanges is the number of changes that the head keeps.
const maxChanges = 50
