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

// Document is a file of JSON with comments that knows on which line each field stands.
type Document struct {
	file   string
	raw    []byte
	lines  map[string]int
	faults []string
}

// Read reads raw into target, a pointer to a struct; file stands for it in errors. The
// caller checks what it has read with Fault and Err.
func Read(file string, raw []byte, target any) (*Document, error) {
	d := &Document{file: file, raw: raw}
	return d, d.decode(target)
}

// decode reads the file into target, a pointer to a struct. Every field that
// target does not have is a fault.
func (d *Document) decode(target any) error {
	root, err := hujson.Parse(d.raw)
	if err != nil {
		// hujson's message already tells line and column.
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
		var wrong *json.UnmarshalTypeError
		if errors.As(err, &wrong) {
			d.Fault(wrong.Field, fmt.Sprintf("give a %s, not a %s", wrong.Type, wrong.Value))
			return d.Err()
		}
		return fmt.Errorf("%s: %w", d.file, err)
	}
	return nil
}

// walk notes the line of each field of v and refuses those that t lacks.
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
		full := joinPath(path, name)
		line := 1 + bytes.Count(d.raw[:member.Name.StartOffset], []byte("\n"))
		if d.lines[full] != 0 {
			d.faults = append(d.faults, fmt.Sprintf("%s:%d: %s: given twice; keep one", d.file, line, full))
			continue
		}
		d.lines[full] = line
		ft, known := fields[name]
		if !known {
			d.faults = append(d.faults, fmt.Sprintf("%s:%d: %s: no such field; %s", d.file, line, full, suggest(name, fields)))
			continue
		}
		d.walk(member.Value, ft, full)
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

// suggest names the field that was probably meant, or all there are.
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

// Fault notes a fault of a field. A field that is not in the file is shown
// without a line, as missing.
func (d *Document) Fault(field, fix string) {
	if line := d.lines[field]; line > 0 {
		d.faults = append(d.faults, fmt.Sprintf("%s:%d: %s: %s", d.file, line, field, fix))
		return
	}
	d.faults = append(d.faults, fmt.Sprintf("%s: %s: missing; %s", d.file, field, fix))
}

// Err lists the faults, or is nil when there are none.
func (d *Document) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	sort.Strings(d.faults)
	return errors.New(strings.Join(d.faults, "\n"))
}
