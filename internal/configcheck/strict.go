package configcheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"sort"
	"strconv"
	"strings"
	"unicode/utf8"
)

// Syntax sets how strictly CheckSyntax reads a document.
type Syntax struct {
	// AllowNull accepts null for any field, as in a merge patch.
	AllowNull bool
	// IgnoresUnknown is set for documents whose unknown fields are ignored by those who read
	// them. Such a field is only a warning, unless it is close to the name of a known one.
	IgnoresUnknown bool
}

// requiredTag is the value of the struct tag "check" of a field that must be present.
const requiredTag = "required"

// CheckSyntax compares a JSON document with the type that it is to be decoded into, and finds
// malformed JSON, unknown, repeated and missing fields, and values of the wrong type. Fields with
// the tag check:"required" must be present.
func CheckSyntax(raw []byte, t reflect.Type, syntax Syntax) []Finding {
	var value json.RawMessage
	if err := json.Unmarshal(raw, &value); err != nil {
		return []Finding{malformed(raw, err)}
	}
	c := &syntaxCheck{Syntax: syntax, fields: map[reflect.Type]map[string]reflect.StructField{}}
	if !utf8.Valid(raw) {
		// Decoders replace invalid bytes without an error.
		c.add(Error, "", "the document is not UTF-8", "encode it as UTF-8")
	}
	c.value("", value, t)
	return c.findings
}

// malformed describes JSON that can't be parsed, with the line if it is known.
func malformed(raw []byte, err error) Finding {
	problem := "malformed JSON: " + err.Error()
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		offset := min(int(syntaxErr.Offset), len(raw))
		problem = fmt.Sprintf("malformed JSON in line %d: %s", 1+bytes.Count(raw[:offset], []byte("\n")), err)
	}
	return Finding{Error, "", problem, "correct the JSON there"}
}

type syntaxCheck struct {
	Syntax
	findings []Finding
	// fields holds the fields of the structs seen so far.
	fields map[reflect.Type]map[string]reflect.StructField
}

func (c *syntaxCheck) add(s Severity, path, problem, mend string) {
	c.findings = append(c.findings, Finding{s, path, problem, mend})
}

// value checks a valid JSON value against a type.
func (c *syntaxCheck) value(path string, raw json.RawMessage, t reflect.Type) {
	raw = bytes.TrimSpace(raw)
	if t.Kind() == reflect.Pointer {
		t = t.Elem()
	}
	if string(raw) == "null" {
		if !c.AllowNull {
			c.add(Error, path, "null is not a value", "give a "+typeName(t)+", or leave the field out")
		}
		return
	}
	if !hasType(raw, t) {
		c.add(Error, path, fmt.Sprintf("%s is not a %s", shorten(string(raw)), typeName(t)), "give a "+typeName(t))
		return
	}
	switch t.Kind() {
	case reflect.Struct:
		if c.fields[t] == nil {
			c.fields[t] = structFields(t)
		}
		c.object(path, raw, c.fields[t])
	case reflect.Map:
		c.namedEntries(path, raw, t.Elem())
	case reflect.Slice:
		var elements []json.RawMessage
		if err := json.Unmarshal(raw, &elements); err != nil {
			c.add(Error, path, err.Error(), "correct the list")
		}
		for i, e := range elements {
			c.value(fmt.Sprintf("%s[%d]", path, i), e, t.Elem())
		}
	}
}

// object checks an object with a fixed set of fields.
func (c *syntaxCheck) object(path string, raw json.RawMessage, fields map[string]reflect.StructField) {
	seen := c.members(path, raw, func(name string, value json.RawMessage) {
		f, known := fields[name]
		if !known {
			c.unknown(path, name, fields)
			return
		}
		c.value(joinPath(path, name), value, f.Type)
	})
	for name, f := range fields {
		if f.Tag.Get("check") == requiredTag && !seen[name] {
			c.add(Error, joinPath(path, name), "missing", "give a "+typeName(f.Type))
		}
	}
}

// namedEntries checks an object whose keys are names.
func (c *syntaxCheck) namedEntries(path string, raw json.RawMessage, entry reflect.Type) {
	c.members(path, raw, func(name string, value json.RawMessage) { c.value(joinPath(path, name), value, entry) })
}

// members calls f for each member of an object, reports repeated names and returns all names.
func (c *syntaxCheck) members(path string, raw json.RawMessage, f func(name string, value json.RawMessage)) map[string]bool {
	seen := map[string]bool{}
	dec := json.NewDecoder(bytes.NewReader(raw))
	if _, err := dec.Token(); err != nil {
		c.add(Error, path, err.Error(), "correct the JSON there")
		return seen
	}
	for dec.More() {
		key, err := dec.Token()
		name, isName := key.(string)
		var value json.RawMessage
		if err == nil && isName {
			err = dec.Decode(&value)
		}
		if err != nil || !isName {
			c.add(Error, path, fmt.Sprintf("malformed JSON: %v", err), "correct the JSON there")
			return seen
		}
		if seen[name] {
			c.add(Error, joinPath(path, name), "given more than once; only the last counts", "keep one")
		}
		seen[name] = true
		f(name, value)
	}
	return seen
}

func (c *syntaxCheck) unknown(path, name string, fields map[string]reflect.StructField) {
	names := make([]string, 0, len(fields))
	for n := range fields {
		names = append(names, n)
	}
	sort.Strings(names)
	if i := slices.IndexFunc(names, func(n string) bool { return isClose(n, name) }); i >= 0 {
		c.add(Error, joinPath(path, name), "no such field", fmt.Sprintf("did you mean %q?", names[i]))
		return
	}
	if c.IgnoresUnknown {
		c.add(Warning, joinPath(path, name), "no such field; it is ignored", "remove it, or check its name")
		return
	}
	c.add(Error, joinPath(path, name), "no such field", "use one of "+strings.Join(names, ", "))
}

// hasType reports whether a valid JSON value other than null can be decoded into a type.
func hasType(raw json.RawMessage, t reflect.Type) bool {
	first := raw[0]
	isNumber := first == '-' || first >= '0' && first <= '9'
	switch t.Kind() {
	case reflect.Struct, reflect.Map:
		return first == '{'
	case reflect.Slice:
		return first == '['
	case reflect.String:
		return first == '"'
	case reflect.Bool:
		return first == 't' || first == 'f'
	case reflect.Float64:
		_, err := strconv.ParseFloat(string(raw), 64)
		return isNumber && err == nil
	case reflect.Int, reflect.Int64:
		_, err := strconv.ParseInt(string(raw), 10, t.Bits())
		return isNumber && err == nil
	}
	return false
}

func typeName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Pointer:
		return typeName(t.Elem())
	case reflect.Struct, reflect.Map:
		return "JSON object"
	case reflect.Slice:
		return "list"
	case reflect.String:
		return "string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "whole number"
	}
	return "number"
}

// structFields returns the fields of a struct by their JSON names, those of embedded structs
// included.
func structFields(t reflect.Type) map[string]reflect.StructField {
	fields := map[string]reflect.StructField{}
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if !f.Anonymous && name != "" {
			fields[name] = f
		}
	}
	return fields
}

// joinPath appends a name to a path. Names that would make the path ambiguous are quoted.
func joinPath(path, name string) string {
	if name == "" || strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r > '~' || strings.ContainsRune(`."[]`, r) }) {
		name = strconv.Quote(name)
	}
	if path == "" {
		return name
	}
	return path + "." + name
}

// maxShownBytes bounds a value within a finding or a line of text.
const maxShownBytes = 60

// shorten limits a value to maxShownBytes.
func shorten(s string) string {
	if len(s) <= maxShownBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxShownBytes], "") + "..."
}

// maxTypos is the number of changed characters up to which a name counts as a misspelt one.
const maxTypos = 2

// isClose reports whether name is probably a misspelling of known.
func isClose(known, name string) bool {
	if strings.EqualFold(known, name) {
		return true
	}
	if len(name) <= 2*maxTypos || max(len(known), len(name))-min(len(known), len(name)) > maxTypos {
		return false
	}
	return editDistance(strings.ToLower(known), strings.ToLower(name)) <= maxTypos
}

// editDistance returns the number of bytes to insert, delete or replace to get from a to b.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			replace := diagonal
			if a[i] != b[j] {
				replace++
			}
			diagonal = row[j+1]
			row[j+1] = min(replace, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
