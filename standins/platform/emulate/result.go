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

// Verdict says how a caller's request ended.
type Verdict string

// Verdicts: a complete response within or beyond the latency targets, a refusal
// that guarantees that the request has not run, or none of these.
const (
	OnTime  Verdict = "on_time"
	Late    Verdict = "late"
	Refused Verdict = "refused"
	Failed  Verdict = "failed"
)

// setVerdict sets the latency and the verdict from the outcome of the last attempt,
// and from the first event and the longest gap of all attempts.
func (r *CallerResult) setVerdict(o world.Outcome, firstEventAt time.Time, maxEventGap time.Duration, sentAt time.Time) {
	if !firstEventAt.IsZero() {
		r.Latency = firstEventAt.Sub(sentAt)
	}
	target := deployment.DeskLatencyTarget
	if r.Kind == world.KindStream {
		target = deployment.FirstEventTarget
	}
	switch {
	case o.Complete && r.Latency <= target && maxEventGap <= deployment.EventGapTarget:
		r.Verdict = OnTime
	case o.Complete:
		r.Verdict = Late
	case o.Refused():
		r.Verdict = Refused
	default:
		r.Verdict = Failed
	}
}

// Result is the result of one run of a scenario: request counts and violated
// guarantees.
type Result struct {
	Scenario string          `json:"scenario"`
	Seed     uint64          `json:"seed"`
	Kinds    []VerdictCounts `json:"kinds"`
	// PerSecond counts the requests by the second in which they were first sent.
	PerSecond []VerdictCounts `json:"seconds"`
	// Violations lists violated guarantees, ScenarioErrors the deviations of the
	// deployment from the scenario.
	Violations     []string `json:"broken,omitempty"`
	ScenarioErrors []string `json:"troubles,omitempty"`
}

// VerdictCounts counts requests by their verdicts.
type VerdictCounts struct {
	Name     string `json:"name"`
	Requests int    `json:"asked"`
	OnTime   int    `json:"on_time"`
	Late     int    `json:"late"`
	Refused  int    `json:"refused"`
	Failed   int    `json:"failed"`
	// P50MS and P95MS are percentiles of the time to the first event of a stream,
	// or else to the complete response. Streams that failed after an event are
	// included.
	P50MS float64 `json:"p50_ms"`
	P95MS float64 `json:"p95_ms"`
}

// OnTimeShare returns the share of the requests that were served on time.
func (g VerdictCounts) OnTimeShare() float64 {
	if g.Requests == 0 {
		return 0
	}
	return float64(g.OnTime) / float64(g.Requests)
}

func newResult(s Scenario, results []CallerResult) Result {
	r := Result{Scenario: s.Name, Seed: s.Seed}
	for _, kind := range requestKinds {
		r.Kinds = append(r.Kinds, countVerdicts(string(kind), results, func(a CallerResult) bool { return a.Kind == kind }))
	}
	for second := range int(s.duration() / time.Second) {
		r.PerSecond = append(r.PerSecond, countVerdicts(fmt.Sprint(second), results, func(a CallerResult) bool { return int(a.SentAt/time.Second) == second }))
	}
	return r
}

func countVerdicts(name string, results []CallerResult, include func(CallerResult) bool) VerdictCounts {
	g := VerdictCounts{Name: name}
	var latencies []time.Duration
	for _, r := range results {
		if !include(r) {
			continue
		}
		g.Requests++
		switch r.Verdict {
		case OnTime:
			g.OnTime++
		case Late:
			g.Late++
		case Refused:
			g.Refused++
		case Failed:
			g.Failed++
		}
		if r.Latency > 0 {
			latencies = append(latencies, r.Latency)
		}
	}
	slices.Sort(latencies)
	g.P50MS, g.P95MS = percentileMS(latencies, 50), percentileMS(latencies, 95)
	return g
}

// percentileMS returns a percentile of sorted durations in milliseconds.
func percentileMS(sorted []time.Duration, percent int) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[len(sorted)*percent/100].Microseconds()) / 1000
}

// Write writes the result to a file as JSON.
func (r Result) Write(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// ReadResult reads a file that Write wrote.
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

// WriteTable writes the result as a table, followed by the violations and errors.
func (r Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "%s, seed %d\trequests\ton time\tlate\trefused\tfailed\tp50 ms\tp95 ms\t\n", r.Scenario, r.Seed)
	for _, g := range r.Kinds {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%.3f\t%d\t%d\t%d\t%.0f\t%.0f\t\n", g.Name, g.Requests, g.OnTimeShare(), g.Late, g.Refused, g.Failed, g.P50MS, g.P95MS)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, violation := range r.Violations {
		if _, err := fmt.Fprintln(w, "broken:", violation); err != nil {
			return err
		}
	}
	for _, scenarioError := range r.ScenarioErrors {
		if _, err := fmt.Fprintln(w, "deviation from the scenario:", scenarioError); err != nil {
			return err
		}
	}
	return nil
}

// WriteComparison writes a table that compares two results for each kind of
// request.
func WriteComparison(w io.Writer, a, b Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintf(t, "%s (%d) and %s (%d)\ton time\t\tchange\tunserved\t\tp95 ms\t\t\n", a.Scenario, a.Seed, b.Scenario, b.Seed)
	for i, before := range a.Kinds {
		if i >= len(b.Kinds) {
			break
		}
		after := b.Kinds[i]
		_, _ = fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%+.3f\t%d\t%d\t%.0f\t%.0f\t\n", before.Name, before.OnTimeShare(), after.OnTimeShare(),
			after.OnTimeShare()-before.OnTimeShare(), before.Refused+before.Failed, after.Refused+after.Failed, before.P95MS, after.P95MS)
	}
	return t.Flush()
}
