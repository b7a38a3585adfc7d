package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/tailscale/hujson"
)

// Document is a JSON file with comments that records the line of each field.
type Document struct {
	file   string
	raw    []byte
	lines  map[string]int
	faults []string
}

// Read decodes raw into target, a pointer to a struct; file is the name used in
// errors. The caller reports invalid values with Fault and gets all of them from Err.
func Read(file string, raw []byte, target any) (*Document, error) {
	d := &Document{file: file, raw: raw}
	return d, d.decode(target)
}

// decode decodes the file into target, a pointer to a struct. A field that target
// lacks is a fault.
func (d *Document) decode(target any) error {
	root, err := hujson.Parse(d.raw)
	if err != nil {
		// hujson's message already contains line and column.
		return fmt.Errorf("%s: %w; settings are JSON, comments and trailing commas allowed", d.file, err)
	}
	d.lines = map[string]int{}
	d.walk(root, reflect.TypeOf(target).Elem(), "")
	if err := d.Err(); err != nil {
		return err
	}
	root.Standardize()
	dec := json.NewDecoder(bytes.NewReader(root.Pack()))
	if err := dec.Decode(target); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			d.Fault(typeErr.Field, fmt.Sprintf("give a %s, not a %s", typeErr.Type, typeErr.Value))
			return d.Err()
		}
		return fmt.Errorf("%s: %w", d.file, err)
	}
	return nil
}

// walk records the line of each field of v and rejects fields that t lacks.
func (d *Document) walk(v hujson.Value, t reflect.Type, path string) {
	if list, ok := v.Value.(*hujson.Array); ok && t.Kind() == reflect.Slice {
		for i := range list.Elements {
			d.walk(list.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i))
		}
		return
	}
	object, ok := v.Value.(*hujson.Object)
	if !ok || t.Kind() != reflect.Struct {
		return
	}
	fields := jsonFields(t)
	for _, member := range object.Members {
		var name string
		_ = json.Unmarshal(bytes.TrimSpace(member.Name.Value.(hujson.Literal)), &name)
		fieldPath := joinPath(path, name)
		line := 1 + bytes.Count(d.raw[:member.Name.StartOffset], []byte("\n"))
		if d.lines[fieldPath] != 0 {
			d.faults = append(d.faults, fmt.Sprintf("%s:%d: %s: given twice; keep one", d.file, line, fieldPath))
			continue
		}
		d.lines[fieldPath] = line
		fieldType, known := fields[name]
		if !known {
			d.faults = append(d.faults, fmt.Sprintf("%s:%d: %s: no such field; %s", d.file, line, fieldPath, suggest(name, fields)))
			continue
		}
		d.walk(member.Value, fieldType, fieldPath)
	}
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func jsonFields(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		if name != "" {
			fields[name] = t.Field(i).Type
		}
	}
	return fields
}

// suggest returns a hint with the field that was probably meant, or with all fields.
func suggest(name string, fields map[string]reflect.Type) string {
	var names []string
	for n := range fields {
		if strings.EqualFold(strings.ReplaceAll(n, "_", ""), strings.ReplaceAll(name, "_", "")) ||
			strings.HasPrefix(n, name) || strings.HasPrefix(name, n) {
			return fmt.Sprintf("did you mean %q?", n)
		}
		names = append(names, n)
	}
	sort.Strings(names)
	return "use one of " + strings.Join(names, ", ")
}

// Fault records an invalid field and its fix. A field that is not in the file is
// reported as missing, without a line.
func (d *Document) Fault(field, fix string) {
	if line := d.lines[field]; line > 0 {
		d.faults = append(d.faults, fmt.Sprintf("%s:%d: %s: %s", d.file, line, field, fix))
		return
	}
	d.faults = append(d.faults, fmt.Sprintf("%s: %s: missing; %s", d.file, field, fix))
}

// Err returns an error that lists all faults, or nil if there are none.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	sort.Strings(d.faults)
	return errors.New(strings.Join(d.faults, "\n"))
}
