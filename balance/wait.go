package balance

import "time"

const (
	// readWeight is the weight of one first event in the average time of a prompt.
	readWeight = 0.1
	// readOutlier bounds one first event to a multiple of the average, so that a
	// slow engine does not speak for the others.
	readOutlier = 3
)

// late reports whether the prompts that an endpoint has to read make the first
// event later than the work allows. An endpoint without prompts takes any work,
// so that the average is measured again after an overload.
func (c *Core) late(now time.Duration, e *endpoint, work Request) bool {
	load, _ := e.load(now)
	if work.MaxFirstEventDelay == 0 || load.Prefilling == 0 {
		return false
	}
	return c.wait(work.Service, load.Prefilling) > work.MaxFirstEventDelay
}

// wait is how long a prompt takes at an endpoint that has others to read.
func (c *Core) wait(service string, prompts int) time.Duration {
	return time.Duration(c.readTime[service] * float64(prompts+1))
}

// noteRead measures the time of a prompt by the first event after it.
func (c *Core) noteRead(now time.Duration, l *Lease) {
	if l.held {
		return
	}
	service := l.Endpoint.Service
	each := float64(now-l.started) / float64(l.Load.Prefilling+1)
	average := c.readTime[service]
	if average == 0 {
		c.readTime[service] = each
		return
	}
	c.readTime[service] += readWeight * (min(each, readOutlier*average) - average)
}

// HasCapacity reports whether one of the endpoints in Among can take the work; if
// there are none, whether any can is not known, and it reports true.
func (c *Core) HasCapacity(now time.Duration, work Request) bool {
	for _, id := range work.Probed {
		if e, ok := c.endpoints[id]; ok && !c.late(now, e, work) && !c.full(now, e, work) {
			return true
		}
	}
	return len(work.Probed) == 0
}
