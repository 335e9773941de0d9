package storesync

import (
	"sync/atomic"
	"time"

	"github.com/hibiscusstair/hibiscusstair/bootclock"
)

// StoreContact records when the store last responded about one kind of object,
// directly or through other instances. Each kind has its own contact: recent
// registrations say nothing about the age of the configuration.
type StoreContact struct {
	kind         string
	clock        bootclock.Func
	timeout      time.Duration
	ownReadAge   time.Duration // age from which on this instance reads the store itself
	lastResponse atomic.Int64  // boot clock time of the last response, in nanoseconds
	lossLogged   atomic.Bool   // the loss of contact was logged
	// throughHelper says that the last response came through an instance that may
	// itself read through this one.
	throughHelper atomic.Bool
}

// newContact returns a contact that counts as lost until the first response.
func newContact(kind string, clock bootclock.Func, timeout, ownReadAge time.Duration) *StoreContact {
	c := &StoreContact{kind: kind, clock: clock, timeout: timeout, ownReadAge: ownReadAge}
	c.lastResponse.Store(int64(clock() - timeout - time.Nanosecond))
	return c
}

// Age returns the time since the store's last response.
func (c *StoreContact) Age() time.Duration { return c.clock() - c.LastResponse() }

// LastResponse returns the boot clock time of the last response.
func (c *StoreContact) LastResponse() time.Duration { return time.Duration(c.lastResponse.Load()) }

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
	at := int64(c.clock() - age)
	for {
		before := c.lastResponse.Load()
		if at <= before || c.lastResponse.CompareAndSwap(before, at) {
			return
		}
	}
}
