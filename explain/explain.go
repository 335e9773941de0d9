// Package explain tells the story of one request from the logs of several
// instances: what was decided, in order, and what the instances that served it
// believed at the time.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// maxLine bounds a log line.
	maxLine = 1 << 20
	// beliefWindow is how long before a request the news about its endpoints is
	// still shown.
	beliefWindow = 10 * time.Second
)

// ErrNotFound says that no line mentions the request.
var ErrNotFound = errors.New("no log line mentions the request")

// Line is one log line.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	Request  string
	Endpoint string
	// Fields are the other fields as JSON text.
	Fields map[string]string
}

// Logs are the lines of several instances.
type Logs struct {
	lines []Line
	// SkippedLines counts the lines that are not JSON objects.
	SkippedLines int
}

// Read adds the lines of one log. Text before the JSON object of a line, such as
// the name of a process, is ignored.
func (l *Logs) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		line, ok := parse(scanner.Bytes())
		if !ok {
			l.SkippedLines++
			continue
		}
		l.lines = append(l.lines, line)
	}
	return scanner.Err()
}

func parse(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(text[start:], &raw); err != nil {
		return Line{}, false
	}
	line := Line{Fields: make(map[string]string)}
	at, err := time.Parse(time.RFC3339Nano, stringOf(raw["time"]))
	if err != nil {
		return Line{}, false
	}
	line.Time = at
	line.Message = stringOf(raw["msg"])
	line.Instance = stringOf(raw["instance"])
	line.Request = stringOf(raw["request"])
	line.Endpoint = stringOf(raw["endpoint"])
	for name, value := range raw {
		switch name {
		case "time", "msg", "instance", "request", "level", "route":
		default:
			line.Fields[name] = strings.Trim(string(value), `"`)
		}
	}
	return line, true
}

// stringOf returns a JSON string, or "" for anything else.
func stringOf(raw json.RawMessage) string {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return ""
	}
	return text
}

// Timeline returns the lines about a request in the order of time, and the lines
// of the instances that served it which say what they believed of its endpoints
// and of the store.
func (l *Logs) Timeline(request string) ([]Line, error) {
	var own []Line
	instances, endpoints := make(map[string]bool), make(map[string]bool)
	for _, line := range l.lines {
		if line.Request != request {
			continue
		}
		own = append(own, line)
		instances[line.Instance] = true
		if line.Endpoint != "" {
			endpoints[line.Endpoint] = true
		}
	}
	if len(own) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrNotFound, request)
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(own, byTime)
	from, to := own[0].Time.Add(-beliefWindow), own[len(own)-1].Time
	for _, line := range l.lines {
		belief := line.Request == "" && instances[line.Instance] && !line.Time.Before(from) && !line.Time.After(to)
		if belief && (line.Endpoint == "" || endpoints[line.Endpoint]) {
			own = append(own, line)
		}
	}
	slices.SortStableFunc(own, byTime)
	return own, nil
}

// WriteTimeline prints a story, one line each, with the time since the first decision
// on the request.
func WriteTimeline(w io.Writer, story []Line) error {
	var start time.Time
	for _, line := range story {
		if line.Request != "" {
			start = line.Time
			break
		}
	}
	for _, line := range story {
		mark := " "
		if line.Request != "" {
			mark = "*"
		}
		var fields strings.Builder
		for _, name := range slices.Sorted(maps.Keys(line.Fields)) {
			fmt.Fprintf(&fields, " %s=%s", name, line.Fields[name])
		}
		offset := line.Time.Sub(start).Round(time.Millisecond)
		if _, err := fmt.Fprintf(w, "%s %9s  %s  %s%s\n", mark, offset, line.Instance, line.Message, fields.String()); err != nil {
			return err
		}
	}
	return nil
}
