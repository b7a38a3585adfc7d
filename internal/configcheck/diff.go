package configcheck

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
)

// EffectRule gives the effect of changes of one field.
type EffectRule struct {
	// Field is the path of the field, with "*" for any name: services.*.timeout_ms. The path of
	// an entry, such as services.*, stands for adding and removing it.
	Field string
	// Kind limits the rule to one kind of change; empty for any.
	Kind ChangeKind
	Effect
}

// unknownEffect is the effect of a change of a field that no rule covers.
var unknownEffect = Effect{false, "none known: nothing of this version reads it"}

// Compare returns the differences between two JSON documents, ordered by path. Lists of objects
// with unique names are compared by name, other lists as a whole. Hashes of credentials are
// hidden.
func Compare(before, after []byte, rules []EffectRule) ([]Change, error) {
	oldDoc, err := decodeAny(before)
	if err != nil {
		return nil, fmt.Errorf("the configuration to compare with: %w", err)
	}
	newDoc, err := decodeAny(after)
	if err != nil {
		return nil, fmt.Errorf("the checked configuration: %w", err)
	}
	d := &comparison{rules: rules, changes: []Change{}}
	d.compare(location{}, oldDoc, newDoc)
	slices.SortFunc(d.changes, func(a, b Change) int { return cmp.Compare(a.Path, b.Path) })
	return d.changes, nil
}

func decodeAny(raw []byte) (any, error) {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	var v any
	if err := dec.Decode(&v); err != nil {
		return nil, err
	}
	return v, nil
}

// location is a place in a document: the path for people, and its names to match rules with.
type location struct {
	path  string
	names []string
}

func (l location) field(name string) location {
	return location{joinPath(l.path, name), append(slices.Clone(l.names), name)}
}

func (l location) entry(name string) location {
	return location{fmt.Sprintf("%s[%s]", l.path, name), append(slices.Clone(l.names), name)}
}

type comparison struct {
	rules   []EffectRule
	changes []Change
}

// absent marks a value that one of the documents lacks.
type absent struct{}

func (d *comparison) compare(at location, before, after any) {
	if len(at.names) == 1 {
		// A section that only one document has counts as empty in the other, so that its
		// entries are listed one by one.
		before, after = emptyLike(before, after), emptyLike(after, before)
	}
	if oldFields, newFields, ok := bothObjects(before, after); ok {
		d.compareFields(at.field, oldFields, newFields)
		return
	}
	if oldEntries, newEntries, ok := bothNamed(before, after); ok {
		d.compareFields(at.entry, oldEntries, newEntries)
		return
	}
	if !equal(before, after) {
		d.record(at, before, after)
	}
}

func (d *comparison) compareFields(at func(string) location, before, after map[string]any) {
	for name, v := range before {
		if w, ok := after[name]; ok {
			d.compare(at(name), v, w)
		} else {
			d.compare(at(name), v, absent{})
		}
	}
	for name, w := range after {
		if _, ok := before[name]; !ok {
			d.compare(at(name), absent{}, w)
		}
	}
}

func (d *comparison) record(at location, before, after any) {
	c := Change{Path: at.path, Kind: Changed, Old: encode(at, before), New: encode(at, after)}
	switch {
	case before == any(absent{}):
		c.Kind = Added
	case after == any(absent{}):
		c.Kind = Removed
	}
	c.Effect = effectOf(d.rules, at.names, c.Kind)
	d.changes = append(d.changes, c)
}

func effectOf(rules []EffectRule, names []string, kind ChangeKind) Effect {
	for _, r := range rules {
		pattern := strings.Split(r.Field, ".")
		if (r.Kind == "" || r.Kind == kind) && slices.EqualFunc(pattern, names, func(p, n string) bool { return p == "*" || p == n }) {
			return r.Effect
		}
	}
	return unknownEffect
}

// emptyLike returns an empty container of the kind of other if v is absent, else v.
func emptyLike(v, other any) any {
	if v != any(absent{}) {
		return v
	}
	switch other.(type) {
	case map[string]any:
		return map[string]any{}
	case []any:
		return []any{}
	}
	return v
}

func bothObjects(before, after any) (x, y map[string]any, ok bool) {
	x, isObject := before.(map[string]any)
	y, ok = after.(map[string]any)
	return x, y, ok && isObject
}

func bothNamed(before, after any) (x, y map[string]any, ok bool) {
	x, isNamed := byName(before)
	y, ok = byName(after)
	return x, y, ok && isNamed
}

// byName returns the elements of a list by their names; ok is false if any has none, or one that
// another has too.
func byName(v any) (entries map[string]any, ok bool) {
	list, ok := v.([]any)
	if !ok {
		return nil, false
	}
	entries = make(map[string]any, len(list))
	for _, e := range list {
		fields, _ := e.(map[string]any)
		name, isNamed := fields["name"].(string)
		if _, repeated := entries[name]; !isNamed || repeated {
			return nil, false
		}
		entries[name] = e
	}
	return entries, true
}

// equal reports whether two decoded values are equal; numbers are compared by value.
func equal(a, b any) bool {
	switch x := a.(type) {
	case json.Number:
		y, ok := b.(json.Number)
		return ok && equalNumbers(x, y)
	case []any:
		y, ok := b.([]any)
		return ok && slices.EqualFunc(x, y, equal)
	case map[string]any:
		y, ok := b.(map[string]any)
		if !ok || len(x) != len(y) {
			return false
		}
		for name, v := range x {
			w, ok := y[name]
			if !ok || !equal(v, w) {
				return false
			}
		}
		return true
	}
	switch b.(type) {
	case []any, map[string]any:
		return false
	}
	return a == b
}

func equalNumbers(x, y json.Number) bool {
	if x == y {
		return true
	}
	i, errX := x.Int64()
	j, errY := y.Int64()
	if errX == nil && errY == nil {
		return i == j
	}
	f, errX := x.Float64()
	g, errY := y.Float64()
	return errX == nil && errY == nil && f == g
}

// hiddenField is the field whose values are not shown.
const hiddenField = "token_sha256"

const hiddenValue = "(hidden)"

// encode returns the value as JSON without hashes of credentials; nil for an absent one.
func encode(at location, v any) json.RawMessage {
	if v == any(absent{}) {
		return nil
	}
	if len(at.names) > 0 && at.names[len(at.names)-1] == hiddenField {
		v = hiddenValue
	}
	raw, err := json.Marshal(withoutHashes(v))
	if err != nil {
		return nil
	}
	return raw
}

func withoutHashes(v any) any {
	switch x := v.(type) {
	case map[string]any:
		shown := make(map[string]any, len(x))
		for name, value := range x {
			if name == hiddenField {
				value = hiddenValue
			}
			shown[name] = withoutHashes(value)
		}
		return shown
	case []any:
		shown := make([]any, len(x))
		for i := range x {
			shown[i] = withoutHashes(x[i])
		}
		return shown
	}
	return v
}
