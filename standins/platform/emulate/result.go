package emulate

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/deployment"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

// Verdict says what an answer was worth to its caller.
type Verdict string

// Verdicts.
const (
	OnTime  Verdict = "on_time"
	Late    Verdict = "late"
	Refused Verdict = "refused"
	Failed  Verdict = "failed"
)

// judge sets the verdict from the last attempt and what came before.
func (a *Answer) judge(o world.Outcome, first time.Time, pause time.Duration, sent time.Time) {
	if !first.IsZero() {
		a.Latency = first.Sub(sent)
	}
	target := deployment.DeskTarget
	if a.Kind == world.KindStream {
		target = deployment.StreamTarget
	}
	switch {
	case o.Whole && a.Latency <= target && pause <= deployment.StreamGap:
		a.Verdict = OnTime
	case o.Whole:
		a.Verdict = Late
	case o.Refused():
		a.Verdict = Refused
	default:
		a.Verdict = Failed
	}
}

// Result is what the callers of a scenario got.
type Result struct {
	Scenario string  `json:"scenario"`
	Seed     uint64  `json:"seed"`
	Kinds    []Group `json:"kinds"`
	// Seconds counts the requests by the second in which they were first sent.
	Seconds []Group `json:"seconds"`
	// Violations lists broken promises, Troubles what kept the scenario from being
	// played as it says.
	Violations     []string `json:"broken,omitempty"`
	ScenarioErrors []string `json:"troubles,omitempty"`
}

// Group counts requests by their verdicts.
type Group struct {
	Name    string `json:"name"`
	Asked   int    `json:"asked"`
	OnTime  int    `json:"on_time"`
	Late    int    `json:"late"`
	Refused int    `json:"refused"`
	Failed  int    `json:"failed"`
	// P50MS and P95MS are of the first event or the whole answer.
	P50MS float64 `json:"p50_ms"`
	P95MS float64 `json:"p95_ms"`
}

// Share returns the part of the requests that got their answers on time.
func (g Group) Share() float64 {
	if g.Asked == 0 {
		return 0
	}
	return float64(g.OnTime) / float64(g.Asked)
}

func newResult(s Scenario, answers []Answer) Result {
	r := Result{Scenario: s.Name, Seed: s.Seed}
	for _, kind := range kinds {
		r.Kinds = append(r.Kinds, group(string(kind), answers, func(a Answer) bool { return a.Kind == kind }))
	}
	for second := range int(s.length() / time.Second) {
		r.Seconds = append(r.Seconds, group(fmt.Sprint(second), answers, func(a Answer) bool { return int(a.Sent/time.Second) == second }))
	}
	return r
}

func group(name string, answers []Answer, in func(Answer) bool) Group {
	g := Group{Name: name}
	var latencies []time.Duration
	for _, a := range answers {
		if !in(a) {
			continue
		}
		g.Asked++
		switch a.Verdict {
		case OnTime:
			g.OnTime++
		case Late:
			g.Late++
		case Refused:
			g.Refused++
		case Failed:
			g.Failed++
		}
		if a.Latency > 0 {
			latencies = append(latencies, a.Latency)
		}
	}
	slices.Sort(latencies)
	g.P50MS, g.P95MS = quantile(latencies, 50), quantile(latencies, 95)
	return g
}

// quantile returns a percentile of sorted times in milliseconds.
func quantile(sorted []time.Duration, percent int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[len(sorted)*percent/100].Microseconds()) / 1000
}

// Write stores the result in a file.
func (r Result) Write(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// ReadResult reads a stored result.
func ReadResult(path string) (Result, error) {
	var r Result
	text, err := os.ReadFile(path)
	if err != nil {
		return r, err
	}
	if err := json.Unmarshal(text, &r); err != nil {
		return r, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// WriteTable prints the result for people.
func (r Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "%s, seed %d\tasked\ton time\tlate\trefused\tfailed\tp50 ms\tp95 ms\t\n", r.Scenario, r.Seed)
	for _, g := range r.Kinds {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%.3f\t%d\t%d\t%d\t%.0f\t%.0f\t\n", g.Name, g.Asked, g.Share(), g.Late, g.Refused, g.Failed, g.P50MS, g.P95MS)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, broken := range r.Violations {
		if _, err := fmt.Fprintln(w, "broken:", broken); err != nil {
			return err
		}
	}
	for _, trouble := range r.ScenarioErrors {
		if _, err := fmt.Fprintln(w, "not as the scenario says:", trouble); err != nil {
			return err
		}
	}
	return nil
}

// WriteComparison prints two results side by side, kind by kind.
func WriteComparison(w io.Writer, a, b Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "%s (%d) and %s (%d)\ton time\t\tchange\tunserved\t\tp95 ms\t\t\n", a.Scenario, a.Seed, b.Scenario, b.Seed)
	for i, before := range a.Kinds {
		if i >= len(b.Kinds) {
			break
		}
		after := b.Kinds[i]
		_, _ = fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%+.3f\t%d\t%d\t%.0f\t%.0f\t\n", before.Name, before.Share(), after.Share(),
			after.Share()-before.Share(), before.Refused+before.Failed, after.Refused+after.Failed, before.P95MS, after.P95MS)
	}
	return t.Flush()
}
