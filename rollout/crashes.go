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

// domainFailed reports whether a failure domain failed around a time, so that a request
// that broke at one of its endpoints says nothing about the version. A version that
// crashes its endpoints hits no other version or service, so the crashes have to include
// one if the domain has endpoints of one.
func (c crashes) domainFailed(at time.Duration, e Endpoint, registered map[api.EndpointID]Endpoint) bool {
	if own, known := c[incarnation{id: e.ID, start: e.Incarnation}]; known {
		at = own.at // a request can notice the crash of its endpoint late
	}
	together, others := 0, false
	for _, crashed := range c {
		if crashed.endpoint.Domain == e.Domain && (crashed.at-at).Abs() <= crashWindow {
			together++
			others = others || !crashed.endpoint.sameSoftware(e)
		}
	}
	if others {
		return together >= minDomainCrashes
	}
	if together < minVersionCrashes {
		return false
	}
	for _, other := range registered {
		if other.Domain == e.Domain && !other.sameSoftware(e) {
			return false
		}
	}
	return true
}
