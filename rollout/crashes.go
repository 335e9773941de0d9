package rollout

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// crashLifetime is how long a crash is remembered. A request can break off this much
// later than its endpoint was found to have crashed, when its timeout ends it.
const crashLifetime = 30 * time.Second

// crash is the crash of one incarnation of an endpoint.
type crash struct {
	at       time.Duration
	endpoint Endpoint
}

// crashes remembers which endpoints crashed.
type crashes map[incarnation]crash

func (c crashes) add(now time.Duration, e Endpoint) {
	key := incarnation{id: e.ID, start: e.Incarnation}
	if _, known := c[key]; !known {
		c[key] = crash{at: now, endpoint: e}
	}
}

func (c crashes) expire(now time.Duration) {
	for key, crashed := range c {
		if now-crashed.at > crashLifetime {
			delete(c, key)
		}
	}
}

// withDomain reports whether an endpoint crashed together with others of its failure
// domain. A version that crashes its endpoints hits no other version or service, so the
// crashes have to include one if the domain has endpoints of one.
func (c crashes) withDomain(key incarnation, registered map[api.EndpointID]Endpoint) bool {
	first, known := c[key]
	if !known {
		return false
	}
	together, others := 0, false
	for _, crashed := range c {
		if crashed.endpoint.Domain == first.endpoint.Domain && (crashed.at-first.at).Abs() <= crashWindow {
			together++
			others = others || !crashed.endpoint.sameSoftware(first.endpoint)
		}
	}
	if together < minDomainCrashes {
		return false
	}
	if others {
		return true
	}
	for _, e := range registered {
		if e.Domain == first.endpoint.Domain && !e.sameSoftware(first.endpoint) {
			return false
		}
	}
	return true
}
