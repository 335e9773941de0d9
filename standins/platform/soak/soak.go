// Package soak runs real instances as processes against the platform's
// stand-in, injects faults from outside them, and checks the promises from what
// callers and endpoints see.
package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/cutproxy"
	"github.com/hibiscusstair/hibiscusstair/standins/harness"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

const (
	host    = "service.example"
	account = "acme"
	// keyCount is the number of keys of the account at the start.
	keyCount = 4
	// heartbeat is how often endpoints look whether they are registered.
	heartbeat = 400 * time.Millisecond
	// readyBound is hang protection for the start of the instances.
	readyBound = 10 * time.Second
	// settleTime is how long the fleet has after the last fault before every
	// request has to be served.
	settleTime = 6 * time.Second
	// restartPause is the pause before a process that ended starts again.
	restartPause = 300 * time.Millisecond
	// pollReady is how often the balancer asks the instances whether they are
	// ready.
	pollReady = 300 * time.Millisecond
)

// Options configures a run.
type Options struct {
	Seed      uint64
	Duration  time.Duration
	Instances int
	Engines   int
	// Callers is the number of callers that send one request after the other.
	Callers int
	// Directory gets the logs.
	Directory string
	// Quiet injects no faults.
	Quiet bool
}

// Report is the result of a run.
type Report struct {
	Seed     uint64
	Requests int
	Served   int
	Faults   []string // injected, in order
	Broken   []string // promises that were broken
}

// node is one instance with what the balancer knows of it.
type node struct {
	name     string
	domain   string
	caller   string
	ready    string
	settings string
	proxy    *cutproxy.Proxy // between the instance and the store

	mu      sync.Mutex
	process *harness.Process
	up      bool // the balancer sends it callers
	// held says that a fault keeps the process down.
	held bool
}

// soak is one run.
type soak struct {
	o       Options
	random  *rand.Rand
	binary  string
	store   *world.Store
	book    *world.Book
	copies  *world.Copies
	faults  *world.DeskFaults
	engines []*world.Endpoint
	desks   []*world.Endpoint
	proxies []*cutproxy.Proxy
	nodes   []*node

	mu       sync.Mutex
	version  uint64
	keys     []string
	removed  map[string]time.Time // key -> when the store had its removal
	outcomes []world.Outcome
	injected []string
	sequence int
}

// Run plays one seed.
func Run(ctx context.Context, o Options) (Report, error) {
	out, err := harness.Build()
	if err != nil {
		return Report{}, err
	}
	s := &soak{
		o: o, random: rand.New(rand.NewPCG(o.Seed, 1)), binary: filepath.Join(out, "hibiscusstair"),
		store: world.NewStore(), book: &world.Book{}, copies: world.NewCopies(), faults: &world.DeskFaults{},
		removed: make(map[string]time.Time),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.close()
	if err := s.build(ctx); err != nil {
		return Report{Seed: o.Seed}, err
	}
	var background sync.WaitGroup
	background.Go(func() { s.keepAlive(ctx) })
	if err := s.waitReady(ctx); err != nil {
		cancel()
		background.Wait()
		return Report{Seed: o.Seed}, err
	}
	s.play(ctx)
	broken := s.checkRecovery(ctx)
	cancel()
	background.Wait()
	return s.report(broken), nil
}

// play lets callers and faults run side by side for the duration.
func (s *soak) play(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.o.Duration)
	defer cancel()
	var group sync.WaitGroup
	for caller := range s.o.Callers {
		seed := rand.New(rand.NewPCG(s.o.Seed, uint64(caller)+100))
		group.Go(func() { s.callUntil(ctx, seed) })
	}
	if !s.o.Quiet {
		group.Go(func() { s.injectUntil(ctx) })
	}
	group.Wait()
}

func (s *soak) build(ctx context.Context) error {
	address, err := serve(s.store)
	if err != nil {
		return err
	}
	for i := range s.o.Engines {
		e := world.NewEngine("llm", domain(i), 16, s.store, s.book, s.copies)
		if err := s.addEndpoint(e); err != nil {
			return err
		}
		s.engines = append(s.engines, e)
	}
	for i := range 3 {
		e := world.NewDesk("desk", domain(i), 6, s.store, s.book, s.faults)
		if err := s.addEndpoint(e); err != nil {
			return err
		}
		s.desks = append(s.desks, e)
	}
	for i := range keyCount {
		s.keys = append(s.keys, fmt.Sprintf("key-%d", i))
	}
	s.configure()
	return s.startNodes(ctx, address)
}

func domain(i int) string { return fmt.Sprintf("d%d", i%3) }

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
func (s *soak) addEndpoint(e *world.Endpoint) error {
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
	s.proxies = append(s.proxies, proxy)
	e.Through(proxy.Address())
	return nil
}

func (s *soak) startNodes(ctx context.Context, store string) error {
	var controls []string
	for i := range s.o.Instances {
		addresses := make([]string, 5)
		for a := range addresses {
			address, err := harness.FreeAddress()
			if err != nil {
				return err
			}
			addresses[a] = address
		}
		proxy, err := cutproxy.New(addresses[4], store, nil)
		if err != nil {
			return err
		}
		controls = append(controls, addresses[2])
		n := &node{name: fmt.Sprintf("front-%d", i), domain: domain(i), caller: addresses[0], ready: addresses[1], proxy: proxy}
		n.settings = filepath.Join(s.o.Directory, n.name+".toml")
		text := settingsText(n, addresses, controls)
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
		if err := s.startNode(n); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// startNode starts the process of an instance.
func (s *soak) startNode(n *node) error {
	process, err := harness.StartProcess(s.o.Directory, n.name, s.binary, []string{"gateway"}, []string{"HIBISCUSSTAIR_CONFIG=" + n.settings})
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process = process
	return nil
}

// keepAlive plays the platform: it polls readiness, starts processes that
// ended again and sends the endpoints' heartbeats.
func (s *soak) keepAlive(ctx context.Context) {
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
		for _, n := range s.nodes {
			group.Go(func() { s.tend(n) })
		}
		group.Wait()
		if time.Since(lastBeat) > heartbeat {
			lastBeat = time.Now()
			for _, e := range append(append([]*world.Endpoint(nil), s.engines...), s.desks...) {
				e.Heartbeat()
			}
		}
	}
}

func (s *soak) tend(n *node) {
	client := http.Client{Timeout: pollReady}
	up := false
	if response, err := client.Get("http://" + n.ready + "/api/readyz"); err == nil {
		up = response.StatusCode == http.StatusOK
		_ = response.Body.Close()
	}
	n.mu.Lock()
	n.up = up
	process, held := n.process, n.held
	n.mu.Unlock()
	if !held && !process.Alive() {
		time.Sleep(restartPause)
		if err := s.startNode(n); err != nil {
			s.note("restart of %s failed: %s", n.name, err)
		}
	}
}

func (s *soak) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyBound)
	defer cancel()
	for {
		if len(s.ready()) == len(s.nodes) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("soak: %d of %d instances are ready; see %s", len(s.ready()), len(s.nodes), s.o.Directory)
		case <-time.After(pollReady):
		}
	}
}

// ready returns the instances that the balancer sends callers to.
func (s *soak) ready() []*node {
	var list []*node
	for _, n := range s.nodes {
		n.mu.Lock()
		if n.up {
			list = append(list, n)
		}
		n.mu.Unlock()
	}
	return list
}

func (s *soak) note(format string, arguments ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.injected = append(s.injected, fmt.Sprintf(format, arguments...))
}

func (s *soak) close() {
	for _, n := range s.nodes {
		n.mu.Lock()
		n.held = true
		n.process.Thaw()
		n.process.Kill()
		n.mu.Unlock()
		_ = n.proxy.Close()
	}
	for _, e := range append(append([]*world.Endpoint(nil), s.engines...), s.desks...) {
		e.Crash()
	}
	for _, proxy := range s.proxies {
		_ = proxy.Close()
	}
}
