package configcheck

import (
	"fmt"
	"io"
	"strconv"
	"strings"
)

// WriteText writes the report for people: a line for each finding and change, and the totals.
func (r *Report) WriteText(w io.Writer) error {
	p := &printer{w: w}
	for _, f := range r.Findings {
		path := f.Path
		if path == "" {
			path = "(document)"
		}
		p.printf("%-7s  %s: %s; %s\n", f.Severity, path, f.Problem, f.Mend)
	}
	if r.Omitted > 0 {
		p.printf("         and %s\n", count(r.Omitted, "more finding"))
	}
	for _, c := range r.Changes {
		p.printf("%-7s  %s: %s%s\n", c.Kind, c.Path, describeValues(c), describeEffect(c.Effect))
	}
	p.printf("%s%s, %s", describeVersions(r), count(r.Errors, "error"), count(r.Warnings, "warning"))
	if r.Changes != nil {
		p.printf(", %s", count(len(r.Changes), "change"))
	}
	p.printf("\n")
	return p.err
}

func count(n int, noun string) string {
	if n != 1 {
		noun += "s"
	}
	return strconv.Itoa(n) + " " + noun
}

func describeValues(c Change) string {
	switch c.Kind {
	case Added:
		return shorten(string(c.New))
	case Removed:
		return shorten(string(c.Old))
	}
	return shorten(string(c.Old)) + " -> " + shorten(string(c.New))
}

func describeEffect(e Effect) string {
	if e.RunningWork {
		return "; effect on accepted work: " + e.Text
	}
	return "; effect: " + e.Text
}

func describeVersions(r *Report) string {
	var parts []string
	if r.Version != nil {
		parts = append(parts, "version "+strconv.FormatInt(*r.Version, 10))
	}
	if r.AgainstVersion != nil {
		parts = append(parts, "against version "+strconv.FormatInt(*r.AgainstVersion, 10))
	}
	if len(parts) == 0 {
		return ""
	}
	return strings.Join(parts, " ") + ": "
}

// printer keeps the first error of a sequence of writes.
type printer struct {
	w   io.Writer
	err error
}

func (p *printer) printf(format string, args ...any) {
	if p.err == nil {
		_, p.err = fmt.Fprintf(p.w, format, args...)
	}
}
