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

// columnGap is the number of blanks between columns of a table.
const columnGap = 2

// print writes value as JSON, or what table writes for people.
func (a *app) print(value any, table func(w io.Writer)) error {
	if a.options.Output == outputJSON {
		return a.printJSON(value)
	}
	w := tabwriter.NewWriter(a.Stdout, 0, 0, columnGap, ' ', 0)
	table(w)
	return w.Flush()
}

func (a *app) printJSON(value any) error {
	encoder := json.NewEncoder(a.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// row writes the cells of one table row; an empty cell shows as a hyphen.
func row(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, c := range cells {
		texts[i] = fmt.Sprint(c)
		if texts[i] == "" {
			texts[i] = "-"
		}
	}
	fmt.Fprintln(w, strings.Join(texts, "\t"))
}
