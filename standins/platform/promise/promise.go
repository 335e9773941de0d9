// Package promise compares what callers saw with what endpoints ran, and reports
// the promises that were broken.
package promise

import (
	"fmt"
	"net/http"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

// Broken returns the broken promises. Every attempt of a caller has its own
// name, and all run for one client account.
func Broken(outcomes []world.Outcome, arrivals []world.Arrival, account string) []string {
	runs := make(map[string]int)
	for _, a := range arrivals {
		runs[a.Attempt]++
	}
	var broken []string
	sent := make(map[string]world.Request)
	for _, o := range outcomes {
		sent[o.Request.Attempt] = o.Request
		broken = append(broken, ofOutcome(o, runs[o.Request.Attempt])...)
	}
	for _, a := range arrivals {
		request, ok := sent[a.Attempt]
		if !ok {
			broken = append(broken, fmt.Sprintf("%s ran at %s but no caller has sent it", a.Attempt, a.Endpoint))
			continue
		}
		broken = append(broken, ofArrival(a, request, account)...)
	}
	return broken
}

func ofOutcome(o world.Outcome, runs int) []string {
	var broken []string
	id := fmt.Sprintf("%s %s", o.Request.Kind, o.Request.Attempt)
	if o.Fault != "" {
		broken = append(broken, id+": "+o.Fault)
	}
	if o.Refused() && runs > 0 && o.Request.Kind != world.KindLookup {
		broken = append(broken, fmt.Sprintf("%s: refused with %d although it ran", id, o.Status))
	}
	if o.Request.Kind == world.KindOrder && runs > 1 {
		broken = append(broken, fmt.Sprintf("%s: ran %d times", id, runs))
	}
	clientError := o.Status >= http.StatusBadRequest && o.Status < http.StatusInternalServerError
	if clientError && o.Status != http.StatusUnauthorized && !o.Refused() {
		broken = append(broken, fmt.Sprintf("%s: status %d although the route exists", id, o.Status))
	}
	return broken
}

func ofArrival(a world.Arrival, request world.Request, account string) []string {
	var broken []string
	body := request.Body
	if request.Kind == world.KindLookup {
		body = nil
	}
	if a.Target != request.Target || a.Body != world.Hash(body) {
		broken = append(broken, fmt.Sprintf("%s: target or body changed: %s", a.Attempt, a.Target))
	}
	if a.Account != account || a.Key != "" {
		broken = append(broken, fmt.Sprintf("%s: account %q, key passed on: %t", a.Attempt, a.Account, a.Key != ""))
	}
	return broken
}
