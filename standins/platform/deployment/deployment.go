// Package deployment runs real instances as processes against the platform's
// stand-in: a store, model engines, a desk, and the platform's part in keeping
// processes alive and callers away from those that are not ready.
package deployment

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/cutproxy"
	"github.com/hibiscusstair/hibiscusstair/standins/harness"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

// What the configuration allows callers.
const (
	Host          = "service.example"
	Account       = "acme"
	StreamTarget  = 2 * time.Second
	StreamGap     = 700 * time.Millisecond
	StreamTimeout = 10 * time.Second
	DeskTarget    = 200 * time.Millisecond
)

const (
	// domains is the number of failure domains.
	domains = 3
	// deskSlots is the number of requests that a desk works on at once.
	deskSlots = 6
	// keyCount is the number of keys of the account at the start.
	keyCount = 4
	// heartbeat is how often endpoints look whether they are registered.
	heartbeat = 400 * time.Millisecond
	// readyBound is hang protection for the start of the instances.
	readyBound = 10 * time.Second
	// restartPause is the pause before a process that ended starts again.
	restartPause = 300 * time.Millisecond
	// pollReady is how often the balancer asks the instances whether they are
	// ready.
	pollReady = 300 * time.Millisecond
)

// Options configures a Deployment.
type Options struct {
	Instances int
	Engines   int
	Model     world.EngineModel
	// Directory gets the logs and the settings of the instances.
	Directory string
	// OnError is told of processes that do not start again.
	OnError func(error)
}

// Deployment is a fleet of instances with what stands behind it.
type Deployment struct {
	Store      *world.Store
	Book       *world.Book
	DeskFaults *world.DeskFaults
	Engines    []*world.Endpoint
	Desks      []*world.Endpoint
	// Links are the proxies before the engines and the desks, in that order.
	Links []*cutproxy.Proxy
	Nodes []*Node

	o       Options
	binary  string
	copies  *world.Copies
	mu      sync.Mutex
	version uint64
	keys    []string
	added   int
}

// Domain returns the failure domain of the engine or instance with a number.
func Domain(i int) string { return fmt.Sprintf("d%d", i%domains) }

// Start builds the binary and starts a deployment. Its instances are not ready
// yet.
func Start(o Options) (*Deployment, error) {
	out, err := harness.Build()
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		o: o, binary: filepath.Join(out, "hibiscusstair"), Store: world.NewStore(), Book: &world.Book{},
		copies: world.NewCopies(), DeskFaults: &world.DeskFaults{},
	}
	if err := d.build(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) build() error {
	address, err := serve(d.Store)
	if err != nil {
		return err
	}
	for i := range d.o.Engines {
		e := world.NewEngine("llm", Domain(i), d.o.Model, d.Store, d.Book, d.copies)
		if err := d.addEndpoint(e); err != nil {
			return err
		}
		d.Engines = append(d.Engines, e)
	}
	for i := range domains {
		e := world.NewDesk("desk", Domain(i), deskSlots, d.Store, d.Book, d.DeskFaults)
		if err := d.addEndpoint(e); err != nil {
			return err
		}
		d.Desks = append(d.Desks, e)
	}
	for i := range keyCount {
		d.keys = append(d.keys, fmt.Sprintf("key-%d", i))
	}
	d.Configure()
	return d.startNodes(address)
}

// serve serves a handler on loopback for the rest of the process.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// addEndpoint starts an endpoint behind a proxy.
func (d *Deployment) addEndpoint(e *world.Endpoint) error {
	if err := e.Start(); err != nil {
		return err
	}
	listen, err := harness.FreeAddress()
	if err != nil {
		return err
	}
	proxy, err := cutproxy.New(listen, e.Address(), nil)
	if err != nil {
		return err
	}
	d.Links = append(d.Links, proxy)
	e.Through(proxy.Address())
	return nil
}

// Run plays the platform until the context ends: it polls readiness, starts
// processes that ended again and sends the endpoints' heartbeats.
func (d *Deployment) Run(ctx context.Context) {
	ticker := time.NewTicker(pollReady)
	defer ticker.Stop()
	lastBeat := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var group sync.WaitGroup
		for _, n := range d.Nodes {
			group.Go(func() { d.tend(n) })
		}
		group.Wait()
		if time.Since(lastBeat) > heartbeat {
			lastBeat = time.Now()
			for _, e := range d.endpoints() {
				e.Heartbeat()
			}
		}
	}
}

func (d *Deployment) endpoints() []*world.Endpoint {
	return append(append([]*world.Endpoint(nil), d.Engines...), d.Desks...)
}

// WaitReady waits until all instances are ready. Run has to run.
func (d *Deployment) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyBound)
	defer cancel()
	for {
		if len(d.Ready()) == len(d.Nodes) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("deployment: %d of %d instances are ready; see %s", len(d.Ready()), len(d.Nodes), d.o.Directory)
		case <-time.After(pollReady):
		}
	}
}

// Ready returns the instances that the balancer sends callers to.
func (d *Deployment) Ready() []*Node {
	var list []*Node
	for _, n := range d.Nodes {
		n.mu.Lock()
		if n.up {
			list = append(list, n)
		}
		n.mu.Unlock()
	}
	return list
}

// CrashDomain ends engines of a failure domain at once, those for which spare is
// false, and returns what starts them again under new identifiers.
func (d *Deployment) CrashDomain(domain string, spare func() bool) (restart func() []error) {
	type dead struct {
		engine *world.Endpoint
		id     string
	}
	var list []dead
	for _, e := range d.Engines {
		if e.Domain == domain && !spare() {
			list = append(list, dead{e, e.Crash()})
		}
	}
	return func() []error {
		var failed []error
		for _, one := range list {
			if err := one.engine.Start(); err != nil {
				failed = append(failed, err)
			}
			one.engine.Lapse(one.id)
		}
		return failed
	}
}

// Close ends all processes and endpoints.
func (d *Deployment) Close() {
	for _, n := range d.Nodes {
		n.close()
	}
	for _, e := range d.endpoints() {
		e.Crash()
	}
	for _, proxy := range d.Links {
		_ = proxy.Close()
	}
}
