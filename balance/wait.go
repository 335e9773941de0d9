package balance

import "time"

const (
	// prefillTimeWeight is the weight of one measurement in the moving average of
	// the prefill time.
	prefillTimeWeight = 0.1
	// maxPrefillTimeRatio bounds one measurement to a multiple of the average, so
	// that one slow engine does not dominate it.
	maxPrefillTimeRatio = 3
)

// exceedsMaxDelay reports whether the prefills that are pending at an endpoint
// delay the first event for longer than the request allows. An endpoint without
// pending prefills takes any request, so that the average is measured again
// after an overload.
func (c *Core) exceedsMaxDelay(now time.Duration, e *endpoint, request Request) bool {
	load, _ := e.load(now)
	if request.MaxFirstEventDelay == 0 || load.Prefilling == 0 {
		return false
	}
	expected := c.expectedFirstEventDelay(request.Service, load.Prefilling)
	if c.options.ZoneOverflow {
		expected = time.Duration(float64(expected) * e.speed.prefillFactor(now))
	}
	return expected > request.MaxFirstEventDelay
}

// expectedFirstEventDelay returns the time until the first event of a new
// generation at an endpoint that has other prompts to process first.
func (c *Core) expectedFirstEventDelay(service string, prompts int) time.Duration {
	return time.Duration(c.prefillTime[service] * float64(prompts+1))
}

// recordPrefillTime updates the average prefill time when the first event of a
// generation arrives. The delay of the first event covers the prefills that were
// pending before it.
func (c *Core) recordPrefillTime(now time.Duration, l *Lease) {
	if l.promptCached {
		return // the engine did not need to prefill the whole prompt
	}
	service := l.Endpoint.Service
	perPrefill := float64(now-l.started) / float64(l.Load.Prefilling+1)
	average := c.prefillTime[service]
	if average == 0 {
		c.prefillTime[service] = perPrefill
		return
	}
	c.prefillTime[service] += prefillTimeWeight * (min(perPrefill, maxPrefillTimeRatio*average) - average)
}

// HasCapacity reports whether one of the probed endpoints can take the request.
// It returns true if no endpoint was probed, since the load is then unknown.
func (c *Core) HasCapacity(now time.Duration, request Request) bool {
	for _, id := range request.Probed {
		if e, ok := c.endpoints[id]; ok && e.admits(request) && !c.exceedsMaxDelay(now, e, request) && !c.exceedsCapacity(now, e, request) && !c.exceedsRoom(now, e, request) {
			return true
		}
	}
	return len(request.Probed) == 0
}
