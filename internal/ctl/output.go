package ctl

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Values of --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// columnPadding is the number of spaces between the columns of a table.
const columnPadding = 2

// print writes value as JSON if the output format is JSON. Otherwise it calls table
// and aligns the tab-separated columns that table writes.
func (a *app) print(value any, table func(w io.Writer)) error {
	if a.options.Output == outputJSON {
		return a.printJSON(value)
	}
	w := tabwriter.NewWriter(a.Stdout, 0, 0, columnPadding, ' ', 0)
	table(w)
	return w.Flush()
}

func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// writeRow writes one table row. Empty cells are printed as a hyphen.
func writeRow(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
		if texts[i] == "" {
			texts[i] = "-"
		}
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}
