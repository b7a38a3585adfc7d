package command

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// table writes rows in aligned columns.
type table struct{ w *tabwriter.Writer }

func newTable(out io.Writer, columns ...string) *table {
	t := &table{tabwriter.NewWriter(out, 0, 4, 2, ' ', 0)}
	_, _ = fmt.Fprintln(t.w, strings.Join(columns, "\t"))
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
