// Package bench measures the instance on real processes.
package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sort"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is one figure.
type Result struct {
	Name    string  `json:"name"`
	Variant string  `json:"variant"`
	Unit    string  `json:"unit"`
	Value   float64 `json:"value"`
	N       int64   `json:"n"` // samples behind the value
}

const (
	// histogramMax is the highest time that a histogram holds, in µs.
	histogramMax = int64(time.Minute / time.Microsecond)
	// histogramDigits is the number of significant digits.
	histogramDigits = 3
)

// histogram holds durations.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (h histogram) add(d time.Duration) {
	// A value beyond the range is counted as its end, so that it isn't lost.
	_ = h.h.RecordValue(min(max(1, d.Microseconds()), histogramMax))
}

// quantile returns a result in milliseconds.
func (h histogram) quantile(name, variant string, q float64) Result {
	return Result{name, variant, "ms", float64(h.h.ValueAtQuantile(q)) / 1000, h.h.TotalCount()}
}

// Print writes the results as one table.
func Print(w io.Writer, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "name\tvariant\tvalue\tunit\tn")
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%s\t%.4g\t%s\t%d\n", r.Name, r.Variant, r.Value, r.Unit, r.N)
	}
	return table.Flush()
}

// Write stores the results as bench.json in the directory.
func Write(directory string, results []Result) error {
	text, err := json.MarshalIndent(results, "", "  ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(directory, "bench.json"), append(text, '\n'), 0o644)
}

// Read returns the results of a file.
func Read(path string) ([]Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var results []Result
	if err := json.Unmarshal(text, &results); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return results, nil
}

// Compare writes both values of each figure and their ratio.
func Compare(w io.Writer, a, b []Result) error {
	type key struct{ name, variant string }
	before := make(map[key]Result)
	for _, r := range a {
		before[key{r.Name, r.Variant}] = r
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "name\tvariant\tunit\tbefore\tafter\tafter/before")
	for _, r := range b {
		old, found := before[key{r.Name, r.Variant}]
		delete(before, key{r.Name, r.Variant})
		if !found {
			fmt.Fprintf(table, "%s\t%s\t%s\t-\t%.4g\t-\n", r.Name, r.Variant, r.Unit, r.Value)
			continue
		}
		ratio := "-"
		if old.Value != 0 {
			ratio = fmt.Sprintf("%.2f", r.Value/old.Value)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%.4g\t%.4g\t%s\n", r.Name, r.Variant, r.Unit, old.Value, r.Value, ratio)
	}
	var gone []Result
	for _, r := range before {
		gone = append(gone, r)
	}
	sort.Slice(gone, func(i, j int) bool {
		return gone[i].Name+"\x00"+gone[i].Variant < gone[j].Name+"\x00"+gone[j].Variant
	})
	for _, r := range gone {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.4g\t-\t-\n", r.Name, r.Variant, r.Unit, r.Value)
	}
	return table.Flush()
}
