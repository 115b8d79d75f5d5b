package command

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// printJSON prints a value as indented JSON.
func (e *Env) printJSON(value any) error {
	encoder := json.NewEncoder(e.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// table prints rows under a header, or value as JSON when -o json is given.
func (e *Env) table(value any, header string, rows func(print func(cells ...any))) error {
	if e.json {
		return e.printJSON(value)
	}
	w := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t"))
	rows(func(cells ...any) {
		texts := make([]string, len(cells))
		for i, cell := range cells {
			texts[i] = cellText(cell)
		}
		fmt.Fprintln(w, strings.Join(texts, "\t"))
	})
	return w.Flush()
}

// cellText formats a cell on one line; an empty cell is "-".
func cellText(cell any) string {
	text := strings.Join(strings.Fields(fmt.Sprint(cell)), " ")
	if text == "" {
		return "-"
	}
	return text
}
