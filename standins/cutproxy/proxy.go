// Package cutproxy is a TCP proxy that forwards one address to another and injects
// network faults: it closes, refuses, stalls, delays or rate-limits connections. It
// also counts their bytes. It stands in for the network between the processes of a
// test.
package cutproxy

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// dialTimeout is the timeout of connecting to the target.
	dialTimeout = 2 * time.Second
	// acceptRetryDelay is the delay after a failed accept.
	acceptRetryDelay = 10 * time.Millisecond
)

// Bytes counts the bytes that the proxy forwarded in each direction.
type Bytes struct {
	Up   uint64 `json:"up"`
	Down uint64 `json:"down"`
}

// Shape is the delay and the rate limit for the connections of one source in each
// direction. All connections of the source share the rate limit.
type Shape struct {
	DelayMS        float64 `json:"delay_ms"`
	BytesPerSecond int     `json:"bytes_per_second"` // 0: no limit
}

// rule holds the faults that apply to the connections of one source.
type rule struct {
	resetNew  bool
	freezeNew [2]bool
	delay     time.Duration
	limiters  [2]*rate.Limiter
}

// Proxy forwards connections to one target. The source of a connection is the name
// of the client's process. Methods that take a source apply to its connections, or
// to all connections if it is "". The rules of "" and of a named source are kept
// apart, so Heal has to be called with the same source as Cut or Freeze.
type Proxy struct {
	address string
	target  string
	sources *Sources

	mu       sync.Mutex
	listener net.Listener // nil while connections are refused
	conns    map[*proxiedConn]bool
	rules    map[string]*rule
	bytes    map[string]*Bytes
	accepted uint64
	closed   bool
	tap      func(source string, direction Direction, data []byte)
}

// New returns a proxy that listens on an address. If sources is nil, all clients
// have the source "".
func New(listen, target string, sources *Sources) (*Proxy, error) {
	p := &Proxy{
		target: target, sources: sources,
		conns: make(map[*proxiedConn]bool), rules: make(map[string]*rule), bytes: make(map[string]*Bytes),
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p.address = listener.Addr().String()
	p.listener = listener
	go p.serve(listener)
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.address }

// serve accepts connections until the listener is closed.
func (p *Proxy) serve(listener net.Listener) {
	for {
		client, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// For example out of file descriptors; a later accept can succeed.
			time.Sleep(acceptRetryDelay)
			continue
		}
		go p.handleConn(client)
	}
}

// Refuse closes the listener, so that the kernel refuses new connections as it
// does for a target that has exited. Open connections stay open.
func (p *Proxy) Refuse() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener == nil {
		return nil
	}
	err := p.listener.Close()
	p.listener = nil
	return err
}

// Listen accepts connections again after Refuse.
func (p *Proxy) Listen() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.listener != nil || p.closed {
		return nil
	}
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return err
	}
	p.listener = listener
	go p.serve(listener)
	return nil
}

// Close closes the listener and all connections.
func (p *Proxy) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	err := p.Refuse()
	p.closeConns("")
	return err
}

// handleConn forwards an accepted connection until it ends. It resets the
// connection if a rule refuses it or the target can't be reached.
func (p *Proxy) handleConn(client net.Conn) {
	conn := &proxiedConn{proxy: p, client: client, source: p.sources.NameOf(client)}
	conn.gates = [2]*gate{newGate(), newGate()}
	conn.ctx, conn.cancel = context.WithCancel(context.Background())
	if !p.admit(conn) {
		closeWithReset(client)
		conn.cancel()
		return
	}
	defer p.remove(conn)
	target, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		closeWithReset(client)
		conn.cancel()
		return
	}
	p.mu.Lock()
	conn.target = target
	p.mu.Unlock()
	// The connection was cut while the target was dialed.
	if conn.ctx.Err() != nil {
		_ = target.Close()
		return
	}
	conn.run()
}

// admit adds the connection to the proxy's connections, or returns false if a rule
// refuses it.
func (p *Proxy) admit(conn *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.accepted++
	if p.closed {
		return false
	}
	for _, r := range p.matchingRules(conn.source) {
		if r.resetNew {
			return false
		}
		for direction, freeze := range r.freezeNew {
			if freeze {
				conn.gates[direction].freeze()
			}
		}
	}
	p.conns[conn] = true
	return true
}

func (p *Proxy) remove(conn *proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, conn)
}

// matchingRules returns the rules that apply to a source, the one for all sources
// first.
func (p *Proxy) matchingRules(source string) []*rule {
	var rules []*rule
	if r := p.rules[""]; r != nil {
		rules = append(rules, r)
	}
	if r := p.rules[source]; r != nil && source != "" {
		rules = append(rules, r)
	}
	return rules
}

// updateRule applies an update to the rule of a source, which it creates if needed.
func (p *Proxy) updateRule(source string, update func(*rule)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rules[source] == nil {
		p.rules[source] = &rule{}
	}
	update(p.rules[source])
}

func (p *Proxy) forEachConn(source string, do func(*proxiedConn)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.conns {
		if source == "" || conn.source == source {
			do(conn)
		}
	}
}

func (p *Proxy) closeConns(source string) {
	p.forEachConn(source, func(conn *proxiedConn) { conn.close() })
}

// Cut closes the source's connections and resets new ones until Heal.
func (p *Proxy) Cut(source string) {
	p.updateRule(source, func(r *rule) { r.resetNew = true })
	p.closeConns(source)
}

// Freeze stalls the source's open connections in the given directions until Heal:
// no data passes and no connection is closed. New connections are stalled too if
// freezeNew is set.
func (p *Proxy) Freeze(source string, freezeNew bool, directions ...Direction) {
	if freezeNew {
		p.updateRule(source, func(r *rule) {
			for _, direction := range directions {
				r.freezeNew[direction] = true
			}
		})
	}
	p.forEachConn(source, func(conn *proxiedConn) {
		for _, direction := range directions {
			conn.gates[direction].freeze()
		}
	})
}

// Heal ends cuts and freezes of the source. Data that was held back is forwarded
// then.
func (p *Proxy) Heal(source string) {
	p.updateRule(source, func(r *rule) { r.resetNew, r.freezeNew = false, [2]bool{} })
	p.forEachConn(source, func(conn *proxiedConn) {
		conn.gates[Up].thaw()
		conn.gates[Down].thaw()
	})
}

// SetShape sets the delay and the rate limit of the source's connections.
func (p *Proxy) SetShape(source string, s Shape) {
	p.updateRule(source, func(r *rule) {
		r.delay = time.Duration(s.DelayMS * float64(time.Millisecond))
		r.limiters = [2]*rate.Limiter{}
		if s.BytesPerSecond > 0 {
			// The burst is 100 ms of data, and at least the largest chunk, which WaitN
			// would reject otherwise.
			burst := max(s.BytesPerSecond/10, bufferBytes)
			r.limiters[Up] = rate.NewLimiter(rate.Limit(s.BytesPerSecond), burst)
			r.limiters[Down] = rate.NewLimiter(rate.Limit(s.BytesPerSecond), burst)
		}
	})
}

// delayAndLimiter returns the longest delay of the matching rules and the limiter
// of the most specific one, nil if there is none.
func (p *Proxy) delayAndLimiter(source string, direction Direction) (delay time.Duration, limiter *rate.Limiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.matchingRules(source) {
		delay = max(delay, r.delay)
		if r.limiters[direction] != nil {
			limiter = r.limiters[direction]
		}
	}
	return delay, limiter
}

// Tap sets a function that is called with all data before it is forwarded. The
// function must not keep the data.
func (p *Proxy) Tap(tap func(source string, direction Direction, data []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tap = tap
}

func (p *Proxy) currentTap() func(string, Direction, []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tap
}

func (p *Proxy) countBytes(source string, direction Direction, n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.bytes[source] == nil {
		p.bytes[source] = &Bytes{}
	}
	if direction == Up {
		p.bytes[source].Up += uint64(n)
	} else {
		p.bytes[source].Down += uint64(n)
	}
}

// Stats is the body of the response to GET /admin/stats. Accepted also counts the
// connections that were reset.
type Stats struct {
	Accepted        uint64           `json:"connections"`
	OpenConnections int              `json:"open"`
	Bytes           map[string]Bytes `json:"bytes"`
}

// Stats returns the numbers of connections, and the bytes by source.
func (p *Proxy) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := Stats{Accepted: p.accepted, OpenConnections: len(p.conns), Bytes: make(map[string]Bytes)}
	for source, bytes := range p.bytes {
		stats.Bytes[source] = *bytes
	}
	return stats
}

// closeWithReset closes a connection with a TCP reset, so that the client sees an
// error and not a regular end.
func closeWithReset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}
