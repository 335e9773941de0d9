package store

import (
	"errors"

	"github.com/uber-go/tally/v4"
)

// classes names the results of calls for the counter.
var classes = []struct {
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

// resultOK is the result of a call without an error.
const resultOK = "ok"

func class(err error) string {
	if err == nil {
		return resultOK
	}
	for _, c := range classes {
		if errors.Is(err, c.err) {
			return c.name
		}
	}
	return "unknown"
}

type callCounts struct {
	counters map[[2]string]tally.Counter
}

func newCallCounts(scope tally.Scope) *callCounts {
	c := &callCounts{counters: make(map[[2]string]tally.Counter)}
	for _, method := range []string{"get", "put", "delete", "list", "watch", "instances"} {
		c.add(scope, method, resultOK)
		for _, class := range classes {
			c.add(scope, method, class.name)
		}
	}
	return c
}

func (c *callCounts) add(scope tally.Scope, method, result string) {
	tags := map[string]string{"method": method, "result": result}
	c.counters[[2]string{method, result}] = scope.Tagged(tags).Counter("calls")
}

func (c *callCounts) count(method string, err error) {
	c.counters[[2]string{method, class(err)}].Inc(1)
}
