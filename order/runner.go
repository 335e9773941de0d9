// Package order dispatches non-idempotent orders and idempotent lookups of callers
// to services, which are endpoints of api.KindService. Before an instance sends an
// order, it creates a claim for its idempotency key in the store. Only the process
// that created the claim sends the order, at most once. The outcome is recorded in
// the claim, and any instance reports it to a caller that uses the key again.
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
	// tickInterval is how often the core checks its deadlines and delays.
	tickInterval = 25 * time.Millisecond
	// maxQueuedEvents bounds the queue of events for the core.
	maxQueuedEvents = 1024
	// sendTimeout bounds the wait for a service's response to an order. The send
	// continues after the caller got its response.
	sendTimeout = 30 * time.Second
	// drainPollInterval is how often Drain checks whether all work has ended.
	drainPollInterval = 20 * time.Millisecond
	// maxUnsentBodyBytes bounds the memory for the bodies of orders that are not
	// sent yet. The memory limit of an instance is 32 MB.
	maxUnsentBodyBytes = 8 << 20
)

// Runner serves orders and lookups.
type Runner struct {
	options          Options
	claims           ClaimStore
	serviceClient    *serviceClient
	core             *Core
	events           *ring.Queue[Event]
	metrics          *metrics
	claimFormat      *claimFormat
	accounts         atomic.Pointer[accountIndex]
	lastOpID         atomic.Uint64
	activeOperations atomic.Int64 // Core.ActiveOperations after the last step
	activeRequests   atomic.Int64 // requests of callers under way
	unsentBodyBytes  atomic.Int64 // total size of the bodies of orders that are not sent yet
	draining         atomic.Bool
	stopped          chan struct{} // closed when Run returns

	mu                sync.Mutex
	pendingOperations map[uint64]*pendingOperation // by operation ID
}

// pendingOperation is what the runner needs to carry out the actions of a caller's
// operation.
type pendingOperation struct {
	reply    chan ReplyToCaller
	body     []byte
	endpoint api.Endpoint
	account  api.AccountID
	grant    *grantRef // nil without a grant
}

// grantRef counts the references to a placement grant and releases the grant with
// the last one: when the caller's request has ended, the core has replied and the
// send has ended. The caller may disconnect before the send.
type grantRef struct {
	placer  Placer
	id      uint64
	refs    atomic.Int32
	outcome atomic.Int32
}

func newGrantRef(placer Placer, id uint64) *grantRef {
	g := &grantRef{placer: placer, id: id}
	g.refs.Store(2) // the caller's request and the core
	return g
}

func (g *grantRef) release() {
	if g == nil {
		return
	}
	if g.refs.Add(-1) == 0 {
		g.placer.Release(g.id, api.Outcome(g.outcome.Load()))
	}
}

// New returns a runner. Orders wait in the event queue until Run is called.
func New(o Options) (*Runner, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	seed := fnv.New64a()
	_, _ = seed.Write([]byte(o.Instance))
	r := &Runner{
		options:           o,
		serviceClient:     newServiceClient(),
		core:              NewCore(CoreOptions{Instance: o.Instance, Incarnation: o.Incarnation, Seed: seed.Sum64()}),
		events:            ring.New[Event](maxQueuedEvents),
		metrics:           newMetrics(o.Scope),
		claimFormat:       newClaimFormat(o),
		stopped:           make(chan struct{}),
		pendingOperations: make(map[uint64]*pendingOperation),
	}
	r.claims = o.newClaimStore()
	return r, nil
}

// Run passes events to the core and carries out its actions until the context
// ends. No other goroutine uses the core.
func (r *Runner) Run(ctx context.Context) error {
	defer close(r.stopped)
	defer r.serviceClient.closeIdleConnections()
	var background sync.WaitGroup
	defer background.Wait()
	background.Go(func() { r.claimFormat.run(ctx, r.options.Store) })
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
	r.activeOperations.Store(int64(r.core.ActiveOperations()))
}

// Drain refuses new work and waits until the requests under way have ended and
// their known outcomes are recorded.
func (r *Runner) Drain(ctx context.Context) error {
	r.draining.Store(true)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for {
		if r.activeRequests.Load() == 0 && r.activeOperations.Load() == 0 && r.events.Len() == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-r.stopped:
			return errors.New("order: the runner stopped before it was drained")
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// queueOperation registers an operation and queues its event for the core. If the
// queue is full, it drops the operation, releases the core's reference to the grant
// and reports false.
func (r *Runner) queueOperation(event Event, opID uint64, p *pendingOperation) bool {
	r.mu.Lock()
	r.pendingOperations[opID] = p
	r.mu.Unlock()
	if r.events.TryPut(event) {
		return true
	}
	r.removePending(opID)
	p.grant.release()
	return false
}

func (r *Runner) removePending(opID uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p, ok := r.pendingOperations[opID]; ok {
		r.releaseBody(p)
		delete(r.pendingOperations, opID)
	}
}

// releaseBody frees the body of an order that was sent or never will be.
func (r *Runner) releaseBody(p *pendingOperation) {
	r.unsentBodyBytes.Add(int64(-len(p.body)))
	p.body = nil
}

func (r *Runner) pendingOperation(opID uint64) *pendingOperation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pendingOperations[opID]
}

// checkAcceptsWork returns nil if the instance accepts new work, else the reason.
func (r *Runner) checkAcceptsWork() error {
	if r.draining.Load() {
		return reason.New(reason.ShuttingDown, "the instance is draining").WithRetryAfter(time.Second)
	}
	return r.options.CheckServing()
}

// accountIndex holds the client accounts of one configuration by credential.
type accountIndex struct {
	config   *api.Config
	accounts map[string]api.Account // by the SHA-256 hash of the credential
}

func (r *Runner) account(config *api.Config, credentialSHA256 string) (api.Account, bool) {
	index := r.accounts.Load()
	if index == nil || index.config != config {
		index = indexAccounts(config)
		r.accounts.Store(index)
	}
	account, ok := index.accounts[credentialSHA256]
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
