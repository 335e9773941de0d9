// Package enginectl brings the engines to the state that the configuration
// requires: models, versions, adapters and roles. In each half only one instance
// at a time sends commands: the holder of the half's lease in the store.
package enginectl

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/store"
)

// Timing of the lease. leaseDuration plus CommandTimeout is not above
// takeoverWait, so that a new holder acts only after the last command of the old
// one has ended, even on engines that ignore fencing tokens.
const (
	// leaseDuration is how long a lease is valid from the start of its write.
	leaseDuration = 10 * time.Second
	// leaseRenewInterval is the time between two renewals by the holder.
	leaseRenewInterval = 3 * time.Second
	// CommandTimeout limits the time of a command. A holder sends a command only
	// while its lease is valid for longer than this.
	CommandTimeout = 2 * time.Second
	// takeoverWait is how long the stored lease has to be unchanged before
	// another instance takes it over.
	takeoverWait = 12 * time.Second
	// leaseReadInterval is the time between two reads by an instance without the
	// lease. 330 instances use 83 of the store's 2000 reads a second. A read is also
	// due when takeoverWait ends.
	leaseReadInterval = 4 * time.Second
	// leaseRetryDelay is the delay after a failed call for the lease.
	leaseRetryDelay = time.Second
)

// CoreOptions configures a Core.
type CoreOptions struct {
	Instance api.InstanceID
	Half     api.Half
	// Token identifies the process.
	Token string
	// WeightLoadsPerMinute limits the rate of weight loads over all engines.
	WeightLoadsPerMinute int

	// Mutations, which the property test has to detect.
	ignoreExpiry  bool // sends commands after the lease expired
	takeOverEarly bool // takes the lease over without takeoverWait
	resetFence    bool // resets the fencing token to 1
	unloadLast    bool // unloads a model without checking for other replicas
}

// Core is the state machine that acquires the lease and reconciles the engines.
// It performs no I/O and reads no clock.
type Core struct {
	options CoreOptions
	actions []Action
	now     time.Duration

	// State of the lease as last read or written.
	lease            Lease
	leaseVersion     store.Version
	leaseRead        bool          // the lease was read at least once
	leaseChangedAt   time.Duration // when the stored lease was last seen to change
	leaseCallActive  bool          // a read or write of the lease is in flight
	nextLeaseCallAt  time.Duration
	unconfirmedWrite *Lease // the lease of a write whose result is unknown
	writeStartedAt   time.Duration
	writeCount       uint64 // makes each write different, so that a read shows which write succeeded
	held             bool
	expiresAt        time.Duration
	// relinquishedFence is the fencing token of the last relinquished lease.
	relinquishedFence uint64

	engines                    map[api.EndpointID]*engine
	weightLoadTokens           float64 // token bucket: weight loads that may be sent now
	weightLoadTokensRefilledAt time.Duration
}

// NewCore returns a core without the lease.
func NewCore(o CoreOptions) *Core {
	if o.WeightLoadsPerMinute <= 0 {
		o.WeightLoadsPerMinute = defaultWeightLoadsPerMinute
	}
	return &Core{options: o, engines: make(map[api.EndpointID]*engine), weightLoadTokens: 1}
}

// Step processes one event and returns the actions to perform.
func (c *Core) Step(now time.Duration, event Event) []Action {
	c.now = now
	c.actions = nil
	switch e := event.(type) {
	case Tick:
		c.tick(e.Config)
	case LeaseRead:
		c.handleLeaseRead(e)
	case LeaseWritten:
		c.handleLeaseWritten(e)
	case ReportFetched:
		c.handleReportFetched(e)
	case CommandFinished:
		c.handleCommandFinished(e)
	}
	return c.actions
}

// MaySendCommands reports whether this instance holds the lease and it stays valid
// for longer than CommandTimeout. It also returns the fencing token.
func (c *Core) MaySendCommands() (bool, uint64) {
	if c.options.ignoreExpiry {
		return c.held, c.lease.Fence
	}
	return c.held && c.now+CommandTimeout < c.expiresAt, c.lease.Fence
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) tick(config *api.Config) {
	c.refillWeightLoadTokens()
	c.tickLease()
	if maySend, _ := c.MaySendCommands(); maySend && config != nil {
		c.reconcile(config)
	}
}

// tickLease starts the next read or write of the lease if it is due.
func (c *Core) tickLease() {
	if c.leaseCallActive || c.now < c.nextLeaseCallAt {
		return
	}
	switch {
	case c.unconfirmedWrite != nil || !c.leaseRead:
		c.startLeaseRead()
	case c.held:
		c.startLeaseWrite(c.lease.Fence)
	case c.mayTakeOver():
		c.startLeaseWrite(c.nextFence())
	default:
		c.startLeaseRead()
	}
}

// mayTakeOver reports whether there is no lease or its holder stopped renewing it.
func (c *Core) mayTakeOver() bool {
	return c.options.takeOverEarly || c.leaseVersion == 0 || c.now-c.leaseChangedAt >= takeoverWait
}

// nextFence returns a fencing token above those of earlier holders of this lease.
// It is also above the version of the stored lease: engines may have moved here
// from another half, whose fencing tokens are below the store's versions.
func (c *Core) nextFence() uint64 {
	if c.options.resetFence {
		return 1
	}
	return max(c.lease.Fence, uint64(c.leaseVersion), c.relinquishedFence) + 1
}

func (c *Core) startLeaseRead() {
	c.leaseCallActive = true
	c.emit(ReadLease{})
}

func (c *Core) startLeaseWrite(fence uint64) {
	c.leaseCallActive = true
	c.writeCount++
	next := Lease{Holder: c.options.Instance, Token: c.options.Token, Fence: fence, Renewal: c.writeCount}
	c.unconfirmedWrite = &next
	c.writeStartedAt = c.now
	c.emit(WriteLease{Lease: next, ExpectedVersion: c.leaseVersion})
}

func (c *Core) handleLeaseWritten(e LeaseWritten) {
	c.leaseCallActive = false
	switch e.Result {
	case WriteOK:
		c.recordHeldLease(*c.unconfirmedWrite, e.Version, c.writeStartedAt)
	case WriteConflict:
		c.loseLease()
		c.nextLeaseCallAt = c.now
		c.unconfirmedWrite = nil
		c.leaseRead = false
	case WriteRefused:
		c.unconfirmedWrite = nil
		c.nextLeaseCallAt = c.now + leaseRetryDelay
	default:
		c.nextLeaseCallAt = c.now + leaseRetryDelay // the result is unknown: the next call reads the lease back
	}
}

// recordHeldLease records that a write of this instance succeeded. The lease is
// valid for leaseDuration from writeStartedAt, the time before the write was sent.
func (c *Core) recordHeldLease(lease Lease, version store.Version, writeStartedAt time.Duration) {
	c.lease, c.leaseVersion, c.unconfirmedWrite, c.leaseRead = lease, version, nil, true
	c.leaseChangedAt = c.now
	c.held = true
	c.expiresAt = writeStartedAt + leaseDuration
	c.nextLeaseCallAt = writeStartedAt + leaseRenewInterval
}

// loseLease records that this instance no longer holds the lease. Another holder
// may change the engines, so their reports have to be fetched again.
func (c *Core) loseLease() {
	c.held = false
	for _, e := range c.engines {
		e.reported = false
	}
}

func (c *Core) handleLeaseRead(e LeaseRead) {
	c.leaseCallActive = false
	if e.Failed {
		c.nextLeaseCallAt = c.now + leaseRetryDelay
		return
	}
	if c.unconfirmedWrite != nil && e.Lease == *c.unconfirmedWrite {
		c.recordHeldLease(e.Lease, e.Version, c.writeStartedAt)
		return
	}
	wasUnconfirmed := c.unconfirmedWrite != nil
	if !c.leaseRead || e.Version != c.leaseVersion {
		c.leaseChangedAt = c.now
	}
	c.unconfirmedWrite = nil
	c.lease, c.leaseVersion, c.leaseRead = e.Lease, e.Version, true
	if c.held && e.Lease.Token != c.options.Token {
		c.loseLease()
	}
	c.nextLeaseCallAt = c.now + leaseReadInterval
	switch {
	case c.held:
		c.nextLeaseCallAt = c.now // the renewal did not take effect
	case wasUnconfirmed, c.leaseVersion == 0:
		c.nextLeaseCallAt = c.now + leaseRetryDelay
	case c.leaseChangedAt+takeoverWait > c.now:
		c.nextLeaseCallAt = min(c.nextLeaseCallAt, c.leaseChangedAt+takeoverWait)
	}
}

// relinquishLease stops using the lease after an engine rejected its fencing
// token. The stored lease stays until it is taken over with a higher token.
func (c *Core) relinquishLease() {
	if !c.held {
		return
	}
	c.loseLease()
	c.relinquishedFence = c.lease.Fence
	c.leaseRead = false
	c.nextLeaseCallAt = c.now + leaseRetryDelay
}

// Status returns the state of the lease and the engines.
func (c *Core) Status() Status {
	maySend, fence := c.MaySendCommands()
	status := Status{Holder: maySend, Fence: fence}
	for _, e := range c.engines {
		status.Engines++
		if e.converged() {
			status.Converged++
		}
	}
	return status
}
