// Package enginectl brings the engines to the state that the configuration
// asks for: models, versions, adapters and roles. One instance at a time sends
// commands, the holder of a lease in the store.
package enginectl

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/store"
)

// Times of the lease. The sum of LongestSend and the lease is below
// takeoverWait, so that a new holder acts after the last command of the old one
// has ended, even on engines that ignore fencing numbers.
const (
	// leaseTime is how long a lease lasts from the start of its write.
	leaseTime = 10 * time.Second
	// renewInterval is how often the holder renews.
	renewInterval = 3 * time.Second
	// CommandTimeout bounds a command. A holder sends only while this much of its
	// lease is left.
	CommandTimeout = 2 * time.Second
	// takeoverWait is how long the lease object has to be unchanged before
	// another instance takes the lease.
	takeoverWait = 12 * time.Second
	// readInterval is how often an instance without the lease reads it. 330
	// instances cost 83 of the store's 2000 reads a second.
	readInterval = 4 * time.Second
	// retryPause is the time between tries after a failed call.
	retryPause = time.Second
)

// CoreOptions configures a Core.
type CoreOptions struct {
	Instance api.InstanceID
	Half     api.Half
	// Token identifies the process.
	Token string
	// LoadsPerMinute paces weight loads over all engines.
	LoadsPerMinute int

	// The following are faults that tests switch on to show that the
	// properties notice them.
	ignoreExpiry  bool // sends without regard to the lease's end
	takeoverEarly bool // takes the lease without the wait
	resetFence    bool // starts the fencing number anew
	unloadLast    bool // unloads without regard to other replicas
}

// Core holds the lease and reconciles the engines. It has no I/O and no clock.
type Core struct {
	options CoreOptions
	actions []Action
	now     time.Duration

	// Lease as last read or written.
	lease     Lease
	version   store.Version
	seen      bool          // the lease was read at least once
	changedAt time.Duration // when the lease object was last seen to change
	busy      bool          // a call for the lease is under way
	nextCall  time.Duration
	written   *Lease // the lease of a write without a known result
	writeAt   time.Duration
	writes    uint64 // makes each write differ, so that its time is certain
	held      bool
	expiresAt time.Duration
	// givenUp is the fencing number under which the lease was given up.
	givenUp uint64

	engines map[api.EndpointID]*engine
	tokens  float64 // weight loads that may be sent now
	refill  time.Duration
}

// NewCore returns a core without the lease.
func NewCore(o CoreOptions) *Core {
	if o.LoadsPerMinute <= 0 {
		o.LoadsPerMinute = defaultLoadsPerMinute
	}
	return &Core{options: o, engines: make(map[api.EndpointID]*engine), tokens: 1}
}

// Step handles one event and returns what has to be done.
func (c *Core) Step(now time.Duration, event Event) []Action {
	c.now = now
	c.actions = nil
	switch e := event.(type) {
	case Tick:
		c.tick(e.Config)
	case LeaseRead:
		c.leaseRead(e)
	case LeaseWritten:
		c.leaseWritten(e)
	case Observed:
		c.observed(e)
	case CommandFinished:
		c.commanded(e)
	}
	return c.actions
}

// MaySendCommands reports whether the instance may send a command now, and the fencing
// number.
func (c *Core) MaySendCommands() (bool, uint64) {
	if c.options.ignoreExpiry {
		return c.held, c.lease.Fence
	}
	return c.held && c.now+CommandTimeout < c.expiresAt, c.lease.Fence
}

func (c *Core) do(a Action) { c.actions = append(c.actions, a) }

func (c *Core) tick(config *api.Config) {
	c.refillTokens()
	c.tickLease()
	if holds, _ := c.MaySendCommands(); holds && config != nil {
		c.reconcile(config)
	}
}

func (c *Core) tickLease() {
	if c.busy || c.now < c.nextCall {
		return
	}
	switch {
	case c.written != nil || !c.seen:
		c.read()
	case c.held:
		c.write(c.lease.Fence)
	case c.mayTake():
		c.write(c.nextFence())
	default:
		c.read()
	}
}

func (c *Core) mayTake() bool {
	return c.options.takeoverEarly || c.version == 0 || c.now-c.changedAt >= takeoverWait
}

// nextFence returns a number above that of every earlier holder. The store's
// version is above the numbers of other leases whose engines moved here.
func (c *Core) nextFence() uint64 {
	if c.options.resetFence {
		return 1
	}
	return max(c.lease.Fence, uint64(c.version), c.givenUp) + 1
}

func (c *Core) read() {
	c.busy = true
	c.do(ReadLease{})
}

func (c *Core) write(fence uint64) {
	c.busy = true
	c.writes++
	next := Lease{Holder: c.options.Instance, Token: c.options.Token, Fence: fence, Renewal: c.writes}
	c.written = &next
	c.writeAt = c.now
	c.do(WriteLease{Lease: next, Expect: c.version})
}

func (c *Core) leaseWritten(e LeaseWritten) {
	c.busy = false
	switch e.Result {
	case WriteOK:
		c.holdsFrom(*c.written, e.Version, c.writeAt)
	case WriteConflict:
		c.lose()
		c.nextCall = c.now
		c.written = nil
		c.seen = false
	case WriteRefused:
		c.written = nil
		c.nextCall = c.now + retryPause
	default:
		c.nextCall = c.now + retryPause // read back
	}
}

// holdsFrom records that the own write took effect. The lease lasts from the
// time before the write.
func (c *Core) holdsFrom(lease Lease, version store.Version, start time.Duration) {
	c.lease, c.version, c.written, c.seen = lease, version, nil, true
	c.changedAt = c.now
	c.held = true
	c.expiresAt = start + leaseTime
	c.nextCall = start + renewInterval
}

func (c *Core) lose() {
	c.held = false
	for _, e := range c.engines {
		e.known = false
	}
}

func (c *Core) leaseRead(e LeaseRead) {
	c.busy = false
	if e.Failed {
		c.nextCall = c.now + retryPause
		return
	}
	if c.written != nil && e.Lease == *c.written {
		c.holdsFrom(e.Lease, e.Version, c.writeAt)
		return
	}
	unconfirmed := c.written != nil
	if !c.seen || e.Version != c.version {
		c.changedAt = c.now
	}
	c.written = nil
	c.lease, c.version, c.seen = e.Lease, e.Version, true
	if c.held && e.Lease.Token != c.options.Token {
		c.lose()
	}
	c.nextCall = c.now + readInterval
	switch {
	case c.held:
		c.nextCall = c.now // the renewal did not take effect
	case unconfirmed, c.version == 0:
		c.nextCall = c.now + retryPause
	case c.changedAt+takeoverWait > c.now:
		c.nextCall = min(c.nextCall, c.changedAt+takeoverWait)
	}
}

// giveUp ends the tenure after an engine refused its fencing number.
func (c *Core) giveUp() {
	if !c.held {
		return
	}
	c.lose()
	c.givenUp = c.lease.Fence
	c.seen = false
	c.nextCall = c.now + retryPause
}

// Status returns the state for reports.
func (c *Core) Status() Status {
	holds, fence := c.MaySendCommands()
	status := Status{Holder: holds, Fence: fence}
	for _, e := range c.engines {
		status.Engines++
		if e.converged() {
			status.Converged++
		}
	}
	return status
}
