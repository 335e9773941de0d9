// Package order runs non-idempotent orders and idempotent lookups on plain
// services. An order is claimed in the store before it is sent, is sent at most
// once by the process that made the claim, and has a recorded outcome that any
// instance reports for a repeated key.
package order

import (
	"context"
	"errors"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/ring"
)

const (
	// tickInterval is the step of the core's timers.
	tickInterval = 25 * time.Millisecond
	// eventRing bounds the events that wait for the core.
	eventRing = 1024
	// sendTimeout bounds the wait for a service's answer to an order. The order
	// goes on after its caller has been answered.
	sendTimeout = 30 * time.Second
	// drainPoll is how often Drain looks whether all work has ended.
	drainPoll = 20 * time.Millisecond
	// maxBodies bounds the memory of orders that are not sent yet. An instance
	// has 32 MB for everything.
	maxBodies = 8 << 20
)

// Runner serves orders and lookups.
type Runner struct {
	options  Options
	claims   ClaimStore
	services *services
	core     *Core
	events   *ring.Queue[Event]
	metrics  *metrics
	format   *format
	accounts atomic.Pointer[accountIndex]
	nextOp   atomic.Uint64
	live     atomic.Int64 // operations of the core that have not ended
	calls    atomic.Int64 // calls of callers under way
	bodies   atomic.Int64 // bytes of orders that are not sent yet
	draining atomic.Bool
	stopped  chan struct{}

	mu      sync.Mutex
	waiting map[uint64]*pending
}

// pending is what an operation needs outside the core.
type pending struct {
	reply    chan ReplyToCaller
	body     []byte
	endpoint api.Endpoint
	account  api.AccountID
	grant    *grantHold // nil without a grant
}

// grantHold releases a grant when the caller's call has ended, the core has
// replied and the send has ended. A caller may go away before the send.
type grantHold struct {
	placer  Placer
	id      uint64
	holders atomic.Int32
	outcome atomic.Int32
}

func holdGrant(placer Placer, id uint64) *grantHold {
	h := &grantHold{placer: placer, id: id}
	h.holders.Store(2) // the caller's call and the core
	return h
}

func (h *grantHold) release() {
	if h == nil {
		return
	}
	if h.holders.Add(-1) == 0 {
		h.placer.Release(h.id, api.Outcome(h.outcome.Load()))
	}
}

// New returns a runner. Orders wait until Run is called.
func New(o Options) (*Runner, error) {
	if err := o.complete(); err != nil {
		return nil, err
	}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(o.Instance))
	r := &Runner{
		options:  o,
		services: newServices(),
		core:     NewCore(CoreOptions{Instance: o.Instance, Incarnation: o.Incarnation, Seed: seed.Sum64()}),
		events:   ring.New[Event](eventRing),
		metrics:  newMetrics(o.Scope),
		format:   newFormat(o),
		stopped:  make(chan struct{}),
		waiting:  make(map[uint64]*pending),
	}
	r.claims = o.claims()
	return r, nil
}

// Run works until the context ends. It owns the core.
func (r *Runner) Run(ctx context.Context) error {
	defer close(r.stopped)
	defer r.services.close()
	var background sync.WaitGroup
	defer background.Wait()
	background.Go(func() { r.format.run(ctx, r.options.Store) })
	background.Go(func() { r.sweepLoop(ctx) })
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		var event Event
		select {
		case <-ctx.Done():
			return nil
		case event = <-r.events.C():
		case <-ticker.C:
			event = Tick{}
		}
		r.step(ctx, event)
	}
}

func (r *Runner) step(ctx context.Context, event Event) {
	for _, action := range r.core.Step(r.options.Clock(), event) {
		r.execute(ctx, action)
	}
	r.live.Store(int64(r.core.ActiveOperations()))
}

// Drain refuses new calls and waits until running calls have ended and known
// outcomes are recorded.
func (r *Runner) Drain(ctx context.Context) error {
	r.draining.Store(true)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		if r.calls.Load() == 0 && r.live.Load() == 0 && r.events.Len() == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-r.stopped:
			return errors.New("order: stopped before all work had ended")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// post hands an event to the core and reports false when the ring is full.
func (r *Runner) post(event Event, op uint64, p *pending) bool {
	r.mu.Lock()
	r.waiting[op] = p
	r.mu.Unlock()
	if r.events.TryPut(event) {
		return true
	}
	r.forget(op)
	p.grant.release()
	return false
}

func (r *Runner) forget(op uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.waiting[op]; ok {
		r.dropBody(p)
		delete(r.waiting, op)
	}
}

// dropBody frees the body of an order that is sent or never will be.
func (r *Runner) dropBody(p *pending) {
	r.bodies.Add(int64(-len(p.body)))
	p.body = nil
}

func (r *Runner) pending(op uint64) *pending {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.waiting[op]
}

// mayStart checks whether the instance takes new work.
func (r *Runner) mayStart() error {
	if r.draining.Load() {
		return reason.New(reason.ShuttingDown, "the instance is draining").WithRetryAfter(time.Second)
	}
	return r.options.CheckServing()
}

// accountIndex finds an account by its credential in one configuration.
type accountIndex struct {
	config   *api.Config
	accounts map[string]api.Account
}

func (r *Runner) account(config *api.Config, credential string) (api.Account, bool) {
	index := r.accounts.Load()
	if index == nil || index.config != config {
		index = indexAccounts(config)
		r.accounts.Store(index)
	}
	account, ok := index.accounts[credential]
	return account, ok
}

func indexAccounts(config *api.Config) *accountIndex {
	index := &accountIndex{config: config, accounts: make(map[string]api.Account, len(config.Accounts))}
	for _, account := range config.Accounts {
		if account.CredentialSHA256 != "" {
			index.accounts[account.CredentialSHA256] = account
		}
	}
	return index
}
