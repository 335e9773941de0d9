// Package deployment runs real instances as processes against the stand-in for
// the platform: a store, engines and desks. It also does what the platform does for
// instances: it restarts those that exit and lists those that are ready.
package deployment

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/cutproxy"
	"github.com/hibiscusstair/hibiscusstair/standins/harness"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

// Values of the configuration: the host of the routes, the client account, the
// targets for the first event of a stream, for the time between two events and for
// the response of a desk, and the timeout of a stream.
const (
	Host              = "service.example"
	Account           = "acme"
	FirstEventTarget  = 2 * time.Second
	EventGapTarget    = 700 * time.Millisecond
	StreamTimeout     = 10 * time.Second
	DeskLatencyTarget = 200 * time.Millisecond
)

const (
	// domainCount is the number of failure domains.
	domainCount = 3
	// deskSlots is the number of requests that a desk runs at the same time.
	deskSlots = 6
	// initialKeyCount is the number of API keys of the client account at the start.
	initialKeyCount = 4
	// registrationCheckInterval is the time between two checks whether the
	// endpoints are registered.
	registrationCheckInterval = 400 * time.Millisecond
	// readyTimeout is the time in which all instances have to become ready.
	readyTimeout = 10 * time.Second
	// restartDelay is the time before an exited process is restarted.
	restartDelay = 300 * time.Millisecond
	// readinessPollInterval is the time between two readiness checks of an
	// instance, and the timeout of a check.
	readinessPollInterval = 300 * time.Millisecond
)

// Options configures a Deployment.
type Options struct {
	Instances        int
	Engines          int
	EngineParameters world.EngineParameters
	// Contracts names the parts of the platform's rules that are in force; see platform
	// settings.
	Contracts []string
	// LogDirectory is the directory for the logs and settings of the instances.
	LogDirectory string
	// OnError, if not nil, is called when an exited process can't be restarted.
	OnError func(error)
}

// Deployment is a fleet of instances with the store and the endpoints that they
// use.
type Deployment struct {
	Store      *world.Store
	RequestLog *world.RequestLog
	DeskFaults *world.DeskFaults
	Engines    []*world.Endpoint
	Desks      []*world.Endpoint
	// EndpointProxies are the proxies in front of the engines and the desks, in
	// that order.
	EndpointProxies []*cutproxy.Proxy
	Instances       []*Instance

	options   Options
	binary    string
	backups   *world.Backups
	mu        sync.Mutex
	version   uint64
	apiKeys   []string
	addedKeys int
	// added are the engines of later versions. Engines are those of the first.
	added []*world.Endpoint
}

// Domain returns the failure domain of the i-th engine, desk or instance.
func Domain(i int) string { return fmt.Sprintf("d%d", i%domainCount) }

// Start builds the binary and starts a deployment. It doesn't wait until the
// instances are ready.
func Start(o Options) (*Deployment, error) {
	out, err := harness.Build()
	if err != nil {
		return nil, err
	}
	d := &Deployment{
		options: o, binary: filepath.Join(out, "hibiscusstair"), Store: world.NewStore(), RequestLog: &world.RequestLog{},
		backups: world.NewBackups(), DeskFaults: &world.DeskFaults{},
	}
	if err := d.startAll(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) startAll() error {
	address, err := serve(d.Store)
	if err != nil {
		return err
	}
	for i := range d.options.Engines {
		e := world.NewEngine("llm", Domain(i), d.options.EngineParameters, d.Store, d.RequestLog, d.backups)
		if err := d.addEndpoint(e); err != nil {
			return err
		}
		d.Engines = append(d.Engines, e)
	}
	for i := range domainCount {
		e := world.NewDesk("desk", Domain(i), deskSlots, d.Store, d.RequestLog, d.DeskFaults)
		if err := d.addEndpoint(e); err != nil {
			return err
		}
		d.Desks = append(d.Desks, e)
	}
	for i := range initialKeyCount {
		d.apiKeys = append(d.apiKeys, fmt.Sprintf("key-%d", i))
	}
	d.WriteConfiguration()
	return d.startInstances(address)
}

// serve serves a handler on loopback until this process exits.
func serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// addEndpoint starts an endpoint and registers it under the address of a proxy.
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
	d.EndpointProxies = append(d.EndpointProxies, proxy)
	e.SetRegisteredAddress(proxy.Address())
	return nil
}

// Run polls the readiness of the instances, restarts exited ones and keeps the
// endpoints registered until the context ends.
func (d *Deployment) Run(ctx context.Context) {
	ticker := time.NewTicker(readinessPollInterval)
	defer ticker.Stop()
	lastRegistrationCheck := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		var group sync.WaitGroup
		for _, instance := range d.Instances {
			group.Go(func() { d.checkInstance(instance) })
		}
		group.Wait()
		if time.Since(lastRegistrationCheck) > registrationCheckInterval {
			lastRegistrationCheck = time.Now()
			for _, e := range d.endpoints() {
				e.RegisterIfMissing()
			}
		}
	}
}

func (d *Deployment) endpoints() []*world.Endpoint {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Concat(d.Engines, d.Desks, d.added)
}

// EndStaleRegistrations ends the registrations of earlier incarnations, which the
// platform does when they are not renewed.
func (d *Deployment) EndStaleRegistrations() {
	current := make(map[string]bool)
	for _, e := range d.endpoints() {
		current[e.IncarnationID()] = true
	}
	for _, name := range d.Store.Names("servers") {
		if !current[name] {
			d.Store.Delete("servers", name)
		}
	}
}

// WaitReady waits until all instances are ready. Run has to be active meanwhile.
func (d *Deployment) WaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		if len(d.ReadyInstances()) == len(d.Instances) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("deployment: %d of %d instances are ready at the timeout; see %s", len(d.ReadyInstances()), len(d.Instances), d.options.LogDirectory)
		case <-time.After(readinessPollInterval):
		}
	}
}

// ReadyInstances returns the instances that were ready at their last check. The
// platform's load balancer sends callers to these.
func (d *Deployment) ReadyInstances() []*Instance {
	var ready []*Instance
	for _, instance := range d.Instances {
		instance.mu.Lock()
		if instance.ready {
			ready = append(ready, instance)
		}
		instance.mu.Unlock()
	}
	return ready
}

// CrashDomain crashes the engines of a failure domain at once, except those for
// which spare returns true. The returned function restarts the crashed engines
// under new identifiers.
func (d *Deployment) CrashDomain(domain string, spare func() bool) (restart func() []error) {
	type crashedEngine struct {
		engine *world.Endpoint
		id     string
	}
	var crashed []crashedEngine
	d.mu.Lock()
	engines := slices.Concat(d.Engines, d.added)
	d.mu.Unlock()
	for _, e := range engines {
		if e.Domain == domain && !spare() {
			crashed = append(crashed, crashedEngine{e, e.Crash()})
		}
	}
	return func() []error {
		var failed []error
		for _, c := range crashed {
			if err := c.engine.Start(); err != nil {
				failed = append(failed, err)
			}
			c.engine.Deregister(c.id)
		}
		return failed
	}
}

// Close stops all processes, endpoints and proxies.
func (d *Deployment) Close() {
	for _, instance := range d.Instances {
		instance.close()
	}
	for _, e := range d.endpoints() {
		e.Crash()
	}
	for _, proxy := range d.EndpointProxies {
		_ = proxy.Close()
	}
}
