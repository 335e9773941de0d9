// Package explain extracts the timeline of one request from the logs of several
// instances: the decisions on the request in order of time, and what the
// instances that served it knew of its endpoints and of the store.
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
	// maxLineBytes is the size of the longest log line that can be read.
	maxLineBytes = 1 << 20
	// contextWindow is how far before the first line of a request lines about its
	// endpoints and the store are included.
	contextWindow = 10 * time.Second
)

// ErrNotFound is returned if no log line mentions the request.
var ErrNotFound = errors.New("no log line mentions the request")

// Line is a decoded log line.
type Line struct {
	Time     time.Time
	Instance string
	Message  string
	Request  string
	Endpoint string
	// Fields contains the fields of the line by name, as JSON text without quotation
	// marks around strings. It has all except time, msg, instance, request, level and
	// route.
	Fields map[string]string
}

// Logs contains the log lines of several instances.
type Logs struct {
	lines []Line
	// SkippedLines is the number of lines that are not JSON objects with a time.
	SkippedLines int
}

// Read adds the lines of one log. Text before the JSON object of a line, such as
// a process name, is ignored.
func (l *Logs) Read(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		line, ok := parseLine(scanner.Bytes())
		if !ok {
			l.SkippedLines++
			continue
		}
		l.lines = append(l.lines, line)
	}
	return scanner.Err()
}

func parseLine(text []byte) (Line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(text[start:], &raw); err != nil {
		return Line{}, false
	}
	line := Line{Fields: make(map[string]string)}
	at, err := time.Parse(time.RFC3339Nano, decodeString(raw["time"]))
	if err != nil {
		return Line{}, false
	}
	line.Time = at
	line.Message = decodeString(raw["msg"])
	line.Instance = decodeString(raw["instance"])
	line.Request = decodeString(raw["request"])
	line.Endpoint = decodeString(raw["endpoint"])
	for name, value := range raw {
		switch name {
		case "time", "msg", "instance", "request", "level", "route":
		default:
			line.Fields[name] = strings.Trim(string(value), `"`)
		}
	}
	return line, true
}

// decodeString returns the value of a JSON string, or "" for other JSON values.
func decodeString(raw json.RawMessage) string {
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		return ""
	}
	return text
}

// Timeline returns, in order of time, the lines about a request and the state lines
// of the instances that served it. State lines name no request, and either one of
// the request's endpoints or none, as lines about the contact with the store do.
// They are included from contextWindow before the request's first line to its last
// line.
func (l *Logs) Timeline(request string) ([]Line, error) {
	var lines []Line
	instances, endpoints := make(map[string]bool), make(map[string]bool)
	for _, line := range l.lines {
		if line.Request != request {
			continue
		}
		lines = append(lines, line)
		instances[line.Instance] = true
		if line.Endpoint != "" {
			endpoints[line.Endpoint] = true
		}
	}
	if len(lines) == 0 {
		return nil, fmt.Errorf("%w: %s", ErrNotFound, request)
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(lines, byTime)
	from, to := lines[0].Time.Add(-contextWindow), lines[len(lines)-1].Time
	for _, line := range l.lines {
		isStateLine := line.Request == "" && instances[line.Instance] && !line.Time.Before(from) && !line.Time.After(to)
		if isStateLine && (line.Endpoint == "" || endpoints[line.Endpoint]) {
			lines = append(lines, line)
		}
	}
	slices.SortStableFunc(lines, byTime)
	return lines, nil
}

// WriteTimeline writes a timeline, one line per log line, with the time since the
// first line about the request. Lines about the request start with an asterisk.
func WriteTimeline(w io.Writer, timeline []Line) error {
	var start time.Time
	for _, line := range timeline {
		if line.Request != "" {
			start = line.Time
			break
		}
	}
	for _, line := range timeline {
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
