// Package loadprobe queries the load of the candidate engines for a generation,
// and whether an engine has a request. An instance knows only its own requests,
// so without these queries two instances could let one engine prefill two
// prompts while other engines are idle.
package loadprobe

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

const (
	// minQueryInterval is the minimum interval between two load queries to an
	// engine, whether or not it responded. Reports lag behind an engine's state
	// by some hundred milliseconds anyway.
	minQueryInterval = 150 * time.Millisecond
	// queryTimeout bounds one query. A round trip between regions takes 16 ms;
	// without a response the load is estimated from this instance's own
	// requests.
	queryTimeout = 50 * time.Millisecond
)

// EngineClient queries the state of an engine.
type EngineClient interface {
	FetchLoad(ctx context.Context, address string) (balance.Load, error)
	// HasRequest reports whether the engine has the request, running or queued.
	HasRequest(ctx context.Context, address, requestID string) (bool, error)
}

// Options configures a Prober.
type Options struct {
	Client  EngineClient
	Balance *balance.Balancer
	Clock   bootclock.Func
	Log     *slog.Logger
	Scope   tally.Scope
}

// Prober queries engines for their load. It is safe for concurrent use.
type Prober struct {
	o         Options
	mu        sync.Mutex
	lastQuery map[api.EndpointID]time.Duration
}

// New returns a prober that has not queried any engine.
func New(o Options) *Prober { return &Prober{o: o, lastQuery: make(map[api.EndpointID]time.Duration)} }

// Refresh concurrently queries the engines that were not queried within
// minQueryInterval and passes their loads to the balancer.
func (p *Prober) Refresh(ctx context.Context, engines []registry.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, engine := range engines {
		if p.claimQuery(engine.ID) {
			group.Go(func() { p.queryLoad(ctx, engine) })
		}
	}
	group.Wait()
}

// claimQuery reports whether a query of the engine is due. If so, it records
// the current time as the time of the query.
func (p *Prober) claimQuery(id api.EndpointID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Clock()
	if at, ok := p.lastQuery[id]; ok && now-at < minQueryInterval {
		return false
	}
	p.lastQuery[id] = now
	return true
}

func (p *Prober) queryLoad(ctx context.Context, engine registry.Endpoint) {
	p.o.Scope.Counter("reports").Inc(1)
	load, err := p.o.Client.FetchLoad(ctx, engine.Address)
	if err != nil {
		p.o.Scope.Counter("report_errors").Inc(1)
		p.o.Log.Info("engine did not report its load", "endpoint", engine.ID, "error", err)
		return
	}
	p.o.Balance.UpdateLoad(engine, load)
}

// HasRequest reports whether the engine has the request. It returns false if
// the engine does not respond.
func (p *Prober) HasRequest(ctx context.Context, engine registry.Endpoint, requestID string) bool {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	p.o.Scope.Counter("reports").Inc(1)
	has, err := p.o.Client.HasRequest(ctx, engine.Address, requestID)
	if err != nil {
		p.o.Scope.Counter("report_errors").Inc(1)
		p.o.Log.Info("engine did not report its requests", "endpoint", engine.ID, "request", requestID, "error", err)
		return false
	}
	return has
}

// Forget discards the query time of an engine that was removed.
func (p *Prober) Forget(id api.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.lastQuery, id)
}
