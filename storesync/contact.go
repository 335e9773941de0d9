package storesync

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusstair/hibiscusstair/bootclock"
)

// StoreContact records when the store last responded about one kind of object,
// directly or through other instances. Each kind has its own contact: recent
// registrations say nothing about the age of the configuration. It is safe for concurrent
// use.
type StoreContact struct {
	kind       string
	clock      bootclock.Func
	timeout    time.Duration
	ownReadAge time.Duration // age from which on this instance reads the store itself
	lossLogged atomic.Bool   // the loss of contact was logged
	// throughHelper says that the last response came through an instance that may
	// itself read through this one.
	throughHelper atomic.Bool

	mu           sync.Mutex
	lastResponse time.Duration // boot clock time of the last whole response
	arrives      bool          // a response has begun and not ended
	lastPart     time.Duration // boot clock time of its last part; 0 if it does not count
	brokeOff     bool          // the response before broke off
}

// newContact returns a contact that counts as lost until the first response.
func newContact(kind string, clock bootclock.Func, timeout, ownReadAge time.Duration) *StoreContact {
	return &StoreContact{
		kind: kind, clock: clock, timeout: timeout, ownReadAge: ownReadAge,
		lastResponse: clock() - timeout - time.Nanosecond,
	}
}

// Age returns the time since the store's last response.
func (c *StoreContact) Age() time.Duration { return c.clock() - c.LastResponse() }

// LastResponse returns the boot clock time of the last response, or of the last part of
// one that arrives.
func (c *StoreContact) LastResponse() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.lastResponse, c.lastPart)
}

// Lost reports whether the last response is older than the timeout.
func (c *StoreContact) Lost() bool { return c.Age() > c.timeout }

// UntilOwnRead returns the time after which this instance has to read the store itself if
// no other one has passed on a response, at most 0 if it has to now.
func (c *StoreContact) UntilOwnRead() time.Duration { return c.ownReadAge - c.Age() }

// ThroughHelper reports whether the last response came through an instance that may itself
// read through this one.
func (c *StoreContact) ThroughHelper() bool { return c.throughHelper.Load() }

// recordResponse records a response that the store sent age ago.
func (c *StoreContact) recordResponse(age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastResponse = max(c.lastResponse, c.clock()-age)
}

// recordPart records that a part of a response has arrived. It shows contact if the rest
// arrives too, so it does not count after a response that broke off.
func (c *StoreContact) recordPart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrives = true
	if !c.brokeOff {
		c.lastPart = c.clock()
	}
}

// recordEnd records that the response that arrived has ended, if there was one. whole says
// that it has arrived to its end.
func (c *StoreContact) recordEnd(whole bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.arrives {
		return
	}
	c.arrives, c.brokeOff = false, !whole
	c.lastPart = 0
}
