package main

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// outputFlag selects the format of a command's output.
type outputFlag struct {
	Output string `enum:"table,json,csv" default:"table" help:"The form of the output: table, json or csv."`
}

// table holds column headings and rows of text cells.
type table struct {
	columns []string
	rows    [][]string
}

func (t *table) addRow(cells ...string) { t.rows = append(t.rows, cells) }

// print writes the document as JSON, or the table as CSV or aligned text.
func (f outputFlag) print(c console, t table, document any) error {
	switch f.Output {
	case "json":
		encoder := json.NewEncoder(c.stdout)
		encoder.SetIndent("", "  ")
		return encoder.Encode(document)
	case "csv":
		writer := csv.NewWriter(c.stdout)
		if err := writer.Write(t.columns); err != nil {
			return err
		}
		return writer.WriteAll(t.rows)
	}
	return t.writeAligned(c)
}

func (t *table) writeAligned(c console) error {
	writer := tabwriter.NewWriter(c.stdout, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, strings.Join(t.columns, "\t"))
	for _, row := range t.rows {
		_, _ = fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}
