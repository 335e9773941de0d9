package storesync

import (
	"sync/atomic"
	"time"

	"github.com/hibiscusstair/hibiscusstair/bootclock"
)

// StoreContact knows when the store last answered about one kind of object, directly
// or through other instances. Each kind has its own: fresh registrations say
// nothing of how old the configuration is.
type StoreContact struct {
	kind     string
	clock    bootclock.Func
	bound    time.Duration
	answered atomic.Int64 // boot clock of the last answer, in nanoseconds
	noted    atomic.Bool  // the loss was logged
}

// newContact returns a contact that counts as lost until the first answer.
func newContact(kind string, clock bootclock.Func, bound time.Duration) *StoreContact {
	c := &StoreContact{kind: kind, clock: clock, bound: bound}
	c.answered.Store(int64(clock() - bound - time.Nanosecond))
	return c
}

// Age returns the time since the store answered.
func (c *StoreContact) Age() time.Duration { return c.clock() - c.LastResponse() }

// LastResponse returns the boot clock time of the last answer.
func (c *StoreContact) LastResponse() time.Duration { return time.Duration(c.answered.Load()) }

// Lost reports whether the last answer is older than the bound.
func (c *StoreContact) Lost() bool { return c.Age() > c.bound }

// answer notes an answer of some age.
func (c *StoreContact) answer(age time.Duration) {
	at := int64(c.clock() - age)
	for {
		before := c.answered.Load()
		if at <= before || c.answered.CompareAndSwap(before, at) {
			return
		}
	}
}
