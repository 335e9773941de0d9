//go:build review

package main

import (
	"context"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
)

// storeGate is the path of one instance to the store, which may turn that instance away
// while it serves the others and the operator.
type storeGate struct {
	address string
	proxy   *httputil.ReverseProxy

	mu        sync.Mutex
	rejecting bool
	waiting   map[int]context.CancelFunc // calls in progress
	next      int
}

// startGate starts a gate before the store.
func startGate(store string) (*storeGate, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g := &storeGate{
		address: listener.Addr().String(), waiting: make(map[int]context.CancelFunc),
		proxy: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: store}),
	}
	g.proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusServiceUnavailable) }
	go func() { _ = http.Serve(listener, g) }()
	return g, nil
}

// reject sets whether the instance is turned away. Watches that wait are cut off.
func (g *storeGate) reject(rejecting bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rejecting = rejecting
	for _, cancel := range g.waiting {
		cancel()
	}
}

// ServeHTTP implements http.Handler.
func (g *storeGate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	g.mu.Lock()
	rejecting := g.rejecting
	g.next++
	call := g.next
	g.waiting[call] = cancel
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.waiting, call)
		g.mu.Unlock()
	}()
	if rejecting {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	g.proxy.ServeHTTP(w, r.WithContext(ctx))
}
