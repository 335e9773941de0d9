package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// printResponse writes a response as indented JSON or as text. In text, a list of
// objects becomes a table, and an object becomes one line per field, followed by a
// table for each field that is a list of objects.
func printResponse(cmd *cli.Command, response json.RawMessage) error {
	w := cmd.Root().Writer
	if cmd.String("output") == "json" {
		var indented bytes.Buffer
		if err := json.Indent(&indented, bytes.TrimSpace(response), "", "  "); err != nil {
			return err
		}
		_, err := fmt.Fprintln(w, indented.String())
		return err
	}
	return printText(w, response)
}

func printText(w io.Writer, response json.RawMessage) error {
	var value any
	decoder := json.NewDecoder(bytes.NewReader(response))
	decoder.UseNumber()
	if err := decoder.Decode(&value); err != nil {
		return fmt.Errorf("malformed response: %w", err)
	}
	switch v := value.(type) {
	case []any:
		return printTable(w, v)
	case map[string]any:
		return printObject(w, v)
	default:
		_, err := fmt.Fprintln(w, formatScalar(v))
		return err
	}
}

func printObject(w io.Writer, object map[string]any) error {
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	var tables []string
	for _, name := range sortedKeys(object) {
		if rows, ok := object[name].([]any); ok && isTable(rows) {
			tables = append(tables, name)
			continue
		}
		fmt.Fprintf(tw, "%s\t%s\n", name, formatScalar(object[name]))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, name := range tables {
		fmt.Fprintf(w, "\n%s:\n", name)
		if err := printTable(w, object[name].([]any)); err != nil {
			return err
		}
	}
	return nil
}

func isTable(rows []any) bool {
	if len(rows) == 0 {
		return false
	}
	_, ok := rows[0].(map[string]any)
	return ok
}

func printTable(w io.Writer, rows []any) error {
	if len(rows) == 0 {
		_, err := fmt.Fprintln(w, "(none)")
		return err
	}
	if !isTable(rows) {
		for _, row := range rows {
			fmt.Fprintln(w, formatScalar(row))
		}
		return nil
	}
	columns := tableColumns(rows)
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, strings.Join(columns, "\t"))
	for _, row := range rows {
		object, _ := row.(map[string]any)
		cells := make([]string, len(columns))
		for i, column := range columns {
			cells[i] = formatScalar(object[column])
		}
		fmt.Fprintln(tw, strings.Join(cells, "\t"))
	}
	return tw.Flush()
}

// tableColumns returns the sorted names of all fields of the rows.
func tableColumns(rows []any) []string {
	seen := make(map[string]any)
	for _, row := range rows {
		object, _ := row.(map[string]any)
		for name := range object {
			seen[name] = nil
		}
	}
	return sortedKeys(seen)
}

func sortedKeys(object map[string]any) []string {
	names := make([]string, 0, len(object))
	for name := range object {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func formatScalar(value any) string {
	switch v := value.(type) {
	case nil:
		return "-"
	case string:
		return v
	case json.Number:
		return v.String()
	case bool:
		return fmt.Sprint(v)
	default:
		text, err := json.Marshal(v)
		if err != nil {
			return "?"
		}
		return string(text)
	}
}

// printError writes the error and, for a refused ticket, the table of findings in
// it.
func printError(w io.Writer, err error) {
	fmt.Fprintln(w, "hibiscusctl:", err)
	var refused *responseError
	if !errors.As(err, &refused) {
		return
	}
	var body struct {
		Findings []any `json:"findings"`
	}
	if json.Unmarshal(refused.body, &body) == nil && len(body.Findings) > 0 {
		_ = printTable(w, body.Findings)
	}
}
