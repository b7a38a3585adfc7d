package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// table prints rows in columns.
type table struct{ w *tabwriter.Writer }

func newTable(out io.Writer, head ...string) *table {
	t := &table{tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)}
	_, _ = fmt.Fprintln(t.w, strings.Join(head, "\t"))
	return t
}

func (t *table) row(cells ...any) {
	parts := make([]string, len(cells))
	for i, c := range cells {
		parts[i] = fmt.Sprint(c)
	}
	_, _ = fmt.Fprintln(t.w, strings.Join(parts, "\t"))
}

func (t *table) flush() { _ = t.w.Flush() }
