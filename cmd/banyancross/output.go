package main

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// outputFlag chooses the form of a command's output.
type outputFlag struct {
	Output string `enum:"table,json,csv" default:"table" help:"The form of the output: table, json or csv."`
}

// table is rows of text under named columns.
type table struct {
	columns []string
	rows    [][]string
}

func (t *table) add(cells ...string) { t.rows = append(t.rows, cells) }

// print writes the document as JSON, or the table in one of its forms.
func (f outputFlag) print(c console, t table, document any) error {
	switch f.Output {
	case "json":
		encoder := json.NewEncoder(c.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(document)
	case "csv":
		writer := csv.NewWriter(c.out)
		if err := writer.Write(t.columns); err != nil {
			return err
		}
		return writer.WriteAll(t.rows)
	}
	return t.align(c)
}

func (t *table) align(c console) error {
	writer := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(writer, strings.Join(t.columns, "\t"))
	for _, row := range t.rows {
		_, _ = fmt.Fprintln(writer, strings.Join(row, "\t"))
	}
	return writer.Flush()
}
