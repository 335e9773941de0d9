package store

import (
	"errors"

	"github.com/uber-go/tally/v4"
)

// resultLabels are the values of the result label for the errors of calls.
var resultLabels = []struct {
	name string
	err  error
}{
	{"conflict", ErrConflict},
	{"not_found", ErrNotFound},
	{"unavailable", ErrUnavailable},
	{"rate_limited", ErrRateLimited},
	{"refused", ErrRefused},
	{"compacted", ErrCompacted},
	{"unknown", ErrUnknown},
}

// resultOK is the value of the result label for a call without an error.
const resultOK = "ok"

func resultLabel(err error) string {
	if err == nil {
		return resultOK
	}
	for _, label := range resultLabels {
		if errors.Is(err, label.err) {
			return label.name
		}
	}
	return "unknown"
}

// callCounters counts calls by method and result.
type callCounters struct {
	counters map[[2]string]tally.Counter // by method and result
}

func newCallCounters(scope tally.Scope) *callCounters {
	c := &callCounters{counters: make(map[[2]string]tally.Counter)}
	for _, method := range []string{"get", "put", "delete", "list", "watch", "instances"} {
		c.add(scope, method, resultOK)
		for _, label := range resultLabels {
			c.add(scope, method, label.name)
		}
	}
	return c
}

func (c *callCounters) add(scope tally.Scope, method, result string) {
	tags := map[string]string{"method": method, "result": result}
	c.counters[[2]string{method, result}] = scope.Tagged(tags).Counter("calls")
}

func (c *callCounters) count(method string, err error) {
	c.counters[[2]string{method, resultLabel(err)}].Inc(1)
}
