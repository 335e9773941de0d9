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

// Result is one measured value.
type Result struct {
	Name    string  `json:"name"`
	Variant string  `json:"variant"` // conditions of the measurement, such as the recovery mode
	Unit    string  `json:"unit"`
	Value   float64 `json:"value"`
	N       int64   `json:"n"` // number of samples
}

const (
	// histogramMax is the highest duration of a histogram, in µs.
	histogramMax = int64(time.Minute / time.Microsecond)
	// histogramDigits is the number of significant decimal digits of a value.
	histogramDigits = 3
)

// histogram is a histogram of durations, in µs.
type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, histogramMax, histogramDigits)}
}

func (h histogram) add(d time.Duration) {
	// A value outside the range is counted at its limit, because RecordValue
	// would drop it.
	_ = h.h.RecordValue(min(max(1, d.Microseconds()), histogramMax))
}

// percentile returns the p-th percentile as a result in milliseconds.
func (h histogram) percentile(name, variant string, p float64) Result {
	return Result{name, variant, "ms", float64(h.h.ValueAtQuantile(p)) / 1000, h.h.TotalCount()}
}

// Print writes the results as a table.
func Print(w io.Writer, results []Result) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "name\tvariant\tvalue\tunit\tn")
	for _, r := range results {
		fmt.Fprintf(table, "%s\t%s\t%.4g\t%s\t%d\n", r.Name, r.Variant, r.Value, r.Unit, r.N)
	}
	return table.Flush()
}

// Write writes the results to bench.json in the directory, which it creates if
// necessary.
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

// Read reads results from a file that Write has written.
func Read(path string) ([]Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var results []Result
	if err := json.Unmarshal(text, &results); err != nil {
		return nil, fmt.Errorf("decode results %s: %w", path, err)
	}
	return results, nil
}

// Compare writes a table with the value of each result before and after a change
// and their ratio.
func Compare(w io.Writer, before, after []Result) error {
	type key struct{ name, variant string }
	unmatched := make(map[key]Result)
	for _, r := range before {
		unmatched[key{r.Name, r.Variant}] = r
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "name\tvariant\tunit\tbefore\tafter\tafter/before")
	for _, r := range after {
		old, found := unmatched[key{r.Name, r.Variant}]
		delete(unmatched, key{r.Name, r.Variant})
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
	var missing []Result
	for _, r := range unmatched {
		missing = append(missing, r)
	}
	sort.Slice(missing, func(i, j int) bool {
		return missing[i].Name+"\x00"+missing[i].Variant < missing[j].Name+"\x00"+missing[j].Variant
	})
	for _, r := range missing {
		fmt.Fprintf(table, "%s\t%s\t%s\t%.4g\t-\t-\n", r.Name, r.Variant, r.Unit, r.Value)
	}
	return table.Flush()
}
