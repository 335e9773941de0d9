// Package promise checks the guarantees that the system gives its callers, for
// example that an order runs at most once. It compares the responses that callers
// received with the requests that endpoints ran.
package promise

import (
	"fmt"
	"net/http"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

// Violations describes each violated guarantee. The attempt IDs of the outcomes
// have to be unique, and all requests have to belong to the client account.
func Violations(outcomes []world.Outcome, received []world.ReceivedRequest, account string) []string {
	runCounts := make(map[string]int)
	for _, request := range received {
		runCounts[request.AttemptID]++
	}
	var violations []string
	sent := make(map[string]world.Request)
	for _, o := range outcomes {
		sent[o.Request.AttemptID] = o.Request
		violations = append(violations, outcomeViolations(o, runCounts[o.Request.AttemptID])...)
	}
	for _, request := range received {
		sentRequest, ok := sent[request.AttemptID]
		if !ok {
			violations = append(violations, fmt.Sprintf("%s ran at %s but no caller sent it", request.AttemptID, request.IncarnationID))
			continue
		}
		violations = append(violations, requestViolations(request, sentRequest, account)...)
	}
	return violations
}

// outcomeViolations checks the outcome of an attempt that endpoints ran the given
// number of times.
func outcomeViolations(o world.Outcome, runs int) []string {
	var violations []string
	id := fmt.Sprintf("%s %s", o.Request.Kind, o.Request.AttemptID)
	if o.Violation != "" {
		violations = append(violations, id+": "+o.Violation)
	}
	if o.Refused() && runs > 0 && o.Request.Kind != world.KindLookup {
		violations = append(violations, fmt.Sprintf("%s: refused with %d although it ran", id, o.Status))
	}
	if o.Request.Kind == world.KindOrder && runs > 1 {
		violations = append(violations, fmt.Sprintf("%s: ran %d times", id, runs))
	}
	clientError := o.Status >= http.StatusBadRequest && o.Status < http.StatusInternalServerError
	if clientError && o.Status != http.StatusUnauthorized && !o.Refused() {
		violations = append(violations, fmt.Sprintf("%s: status %d although the route exists", id, o.Status))
	}
	return violations
}

// requestViolations checks a request that an endpoint received against the one
// that the caller sent.
func requestViolations(received world.ReceivedRequest, sent world.Request, account string) []string {
	var violations []string
	body := sent.Body
	if sent.Kind == world.KindLookup {
		body = nil
	}
	if received.Target != sent.Target || received.BodyHash != world.Hash(body) {
		violations = append(violations, fmt.Sprintf("%s: target or body changed: %s", received.AttemptID, received.Target))
	}
	if received.Account != account || received.APIKey != "" {
		violations = append(violations, fmt.Sprintf("%s: account %q, API key passed on: %t", received.AttemptID, received.Account, received.APIKey != ""))
	}
	return violations
}
