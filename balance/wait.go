package balance

import "time"

const (
	// prefillTimeWeight is the weight of one first event in the average time of a prompt.
	prefillTimeWeight = 0.1
	// maxPrefillTimeRatio bounds one first event to a multiple of the average, so that a
	// slow engine does not speak for the others.
	maxPrefillTimeRatio = 3
)

// exceedsMaxDelay reports whether the prompts that an endpoint has to read make the first
// event later than the work allows. An endpoint without prompts takes any work,
// so that the average is measured again after an overload.
func (c *Core) exceedsMaxDelay(now time.Duration, e *endpoint, work Request) bool {
	load, _ := e.load(now)
	if work.MaxFirstEventDelay == 0 || load.Prefilling == 0 {
		return false
	}
	return c.expectedFirstEventDelay(work.Service, load.Prefilling) > work.MaxFirstEventDelay
}

// expectedFirstEventDelay is how long a prompt takes at an endpoint that has others to read.
func (c *Core) expectedFirstEventDelay(service string, prompts int) time.Duration {
	return time.Duration(c.prefillTime[service] * float64(prompts+1))
}

// recordPrefillTime measures the time of a prompt by the first event after it.
func (c *Core) recordPrefillTime(now time.Duration, l *Lease) {
	if l.promptCached {
		return
	}
	service := l.Endpoint.Service
	each := float64(now-l.started) / float64(l.Load.Prefilling+1)
	average := c.prefillTime[service]
	if average == 0 {
		c.prefillTime[service] = each
		return
	}
	c.prefillTime[service] += prefillTimeWeight * (min(each, maxPrefillTimeRatio*average) - average)
}

// HasCapacity reports whether one of the endpoints in Among can take the work; if
// there are none, whether any can is not known, and it reports true.
func (c *Core) HasCapacity(now time.Duration, work Request) bool {
	for _, id := range work.Probed {
		if e, ok := c.endpoints[id]; ok && !c.exceedsMaxDelay(now, e, work) && !c.exceedsCapacity(now, e, work) {
			return true
		}
	}
	return len(work.Probed) == 0
}
