// Package loadprobe asks the engines that come into question for a generation
// how much work they have. Instances know only their own work, so two of them
// would else let one engine read two prompts while others are idle.
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
	// freshness is how long a report is used again. Engines report their state
	// some hundred milliseconds late.
	freshness = 150 * time.Millisecond
	// askTimeout bounds one question. A round trip between regions takes 16 ms;
	// without an answer the engine's own work here decides.
	askTimeout = 50 * time.Millisecond
)

// EngineClient asks an engine for its state.
type EngineClient interface {
	FetchLoad(ctx context.Context, address string) (balance.Load, error)
	// HasRequest reports whether the engine has the attempt, running or waiting.
	HasRequest(ctx context.Context, address, attempt string) (bool, error)
}

// Options configures a Prober.
type Options struct {
	Client  EngineClient
	Balance *balance.Balancer
	Clock   bootclock.Func
	Log     *slog.Logger
	Scope   tally.Scope
}

// Prober asks engines for their load. It is safe for concurrent use.
type Prober struct {
	o     Options
	mu    sync.Mutex
	asked map[api.EndpointID]time.Duration
}

// New returns a prober that has asked nobody.
func New(o Options) *Prober { return &Prober{o: o, asked: make(map[api.EndpointID]time.Duration)} }

// Refresh asks the engines whose last report is old, all at once, and hands
// their loads to the balancer.
func (p *Prober) Refresh(ctx context.Context, engines []registry.Endpoint) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, engine := range engines {
		if p.due(engine.ID) {
			group.Go(func() { p.ask(ctx, engine) })
		}
	}
	group.Wait()
}

// due reports whether the engine has to be asked, and notes that it is.
func (p *Prober) due(id api.EndpointID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.o.Clock()
	if at, ok := p.asked[id]; ok && now-at < freshness {
		return false
	}
	p.asked[id] = now
	return true
}

func (p *Prober) ask(ctx context.Context, engine registry.Endpoint) {
	p.o.Scope.Counter("reports").Inc(1)
	load, err := p.o.Client.FetchLoad(ctx, engine.Address)
	if err != nil {
		p.o.Scope.Counter("report_errors").Inc(1)
		p.o.Log.Info("engine did not report its load", "endpoint", engine.ID, "error", err)
		return
	}
	p.o.Balance.UpdateLoad(engine, load)
}

// HasRequest reports whether the engine says that it has the attempt. An engine that
// does not answer has not.
func (p *Prober) HasRequest(ctx context.Context, engine registry.Endpoint, attempt string) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	p.o.Scope.Counter("reports").Inc(1)
	holds, err := p.o.Client.HasRequest(ctx, engine.Address, attempt)
	if err != nil {
		p.o.Scope.Counter("report_errors").Inc(1)
		p.o.Log.Info("engine did not report its runs", "endpoint", engine.ID, "request", attempt, "error", err)
		return false
	}
	return holds
}

// Forget drops what is known of an engine that is gone.
func (p *Prober) Forget(id api.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.asked, id)
}
