// Package cutproxy is a TCP proxy for one address pair that can cut, freeze,
// delay and narrow connections, and counts their bytes. It stands for the
// network between the processes of a test.
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
	dialTimeout = 2 * time.Second
	// acceptPause is the wait after a failed accept.
	acceptPause = 10 * time.Millisecond
)

// Bytes counts what passed through the proxy.
type Bytes struct {
	Up   uint64 `json:"up"`
	Down uint64 `json:"down"`
}

// Shape delays and narrows the connections of one source.
type Shape struct {
	DelayMS        float64 `json:"delay_ms"`
	BytesPerSecond int     `json:"bytes_per_second"` // 0 is no limit
}

type rule struct {
	refuse    bool
	freezeNew [2]bool
	delay     time.Duration
	limiters  [2]*rate.Limiter
}

// Proxy forwards connections to one target. Every call takes a source, the
// name of the client's process; "" stands for all sources.
type Proxy struct {
	address string
	target  string
	sources *Sources

	mu          sync.Mutex
	listener    net.Listener // nil while connections are refused
	links       map[*link]bool
	rules       map[string]*rule
	bytes       map[string]*Bytes
	connections uint64
	closed      bool
	tap         func(source string, direction Direction, data []byte)
}

// New returns a proxy that listens on the address. sources may be nil, then
// all clients have the source "".
func New(listen, target string, sources *Sources) (*Proxy, error) {
	p := &Proxy{
		target: target, sources: sources,
		links: make(map[*link]bool), rules: make(map[string]*rule), bytes: make(map[string]*Bytes),
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
			// Out of file descriptors, for example; a later accept can succeed.
			time.Sleep(acceptPause)
			continue
		}
		go p.accept(client)
	}
}

// Refuse closes the listener, so that the kernel refuses connections as it does
// for a target that has exited. Open connections stay.
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

// Close ends the listener and all connections.
func (p *Proxy) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	err := p.Refuse()
	p.closeLinks("")
	return err
}

func (p *Proxy) accept(client net.Conn) {
	l := &link{proxy: p, client: client, source: p.sources.Name(client.RemoteAddr())}
	l.gates = [2]*gate{newGate(), newGate()}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	if !p.admit(l) {
		reset(client)
		l.cancel()
		return
	}
	defer p.forget(l)
	target, err := net.DialTimeout("tcp", p.target, dialTimeout)
	if err != nil {
		reset(client)
		l.cancel()
		return
	}
	p.mu.Lock()
	l.target = target
	p.mu.Unlock()
	if l.ctx.Err() != nil {
		_ = target.Close()
		return
	}
	l.run()
}

// admit registers the connection unless it is refused.
func (p *Proxy) admit(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections++
	if p.closed {
		return false
	}
	for _, r := range p.matching(l.source) {
		if r.refuse {
			return false
		}
		for direction, freeze := range r.freezeNew {
			if freeze {
				l.gates[direction].freeze()
			}
		}
	}
	p.links[l] = true
	return true
}

func (p *Proxy) forget(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// matching returns the rules of a source, that of all sources first.
func (p *Proxy) matching(source string) []*rule {
	var rules []*rule
	if r := p.rules[""]; r != nil {
		rules = append(rules, r)
	}
	if r := p.rules[source]; r != nil && source != "" {
		rules = append(rules, r)
	}
	return rules
}

// change applies an update to the rule of a source.
func (p *Proxy) change(source string, update func(*rule)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.rules[source] == nil {
		p.rules[source] = &rule{}
	}
	update(p.rules[source])
}

func (p *Proxy) each(source string, do func(*link)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		if source == "" || l.source == source {
			do(l)
		}
	}
}

func (p *Proxy) closeLinks(source string) {
	p.each(source, func(l *link) { l.close() })
}

// Cut closes the source's connections and refuses new ones until Heal.
func (p *Proxy) Cut(source string) {
	p.change(source, func(r *rule) { r.refuse = true })
	p.closeLinks(source)
}

// Freeze makes the source's open connections silent in the given directions.
// New connections work, unless freezeNew is set.
func (p *Proxy) Freeze(source string, freezeNew bool, directions ...Direction) {
	if freezeNew {
		p.change(source, func(r *rule) {
			for _, direction := range directions {
				r.freezeNew[direction] = true
			}
		})
	}
	p.each(source, func(l *link) {
		for _, direction := range directions {
			l.gates[direction].freeze()
		}
	})
}

// Heal ends cuts and freezes of the source. What was held back arrives late.
func (p *Proxy) Heal(source string) {
	p.change(source, func(r *rule) { r.refuse, r.freezeNew = false, [2]bool{} })
	p.each(source, func(l *link) {
		l.gates[Up].thaw()
		l.gates[Down].thaw()
	})
}

// Shape delays and narrows the source's connections in each direction.
func (p *Proxy) Shape(source string, s Shape) {
	p.change(source, func(r *rule) {
		r.delay = time.Duration(s.DelayMS * float64(time.Millisecond))
		r.limiters = [2]*rate.Limiter{}
		if s.BytesPerSecond > 0 {
			burst := max(s.BytesPerSecond/10, bufferBytes)
			r.limiters[Up] = rate.NewLimiter(rate.Limit(s.BytesPerSecond), burst)
			r.limiters[Down] = rate.NewLimiter(rate.Limit(s.BytesPerSecond), burst)
		}
	})
}

func (p *Proxy) shape(source string, direction Direction) (delay time.Duration, limiter *rate.Limiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.matching(source) {
		delay = max(delay, r.delay)
		if r.limiters[direction] != nil {
			limiter = r.limiters[direction]
		}
	}
	return delay, limiter
}

// Tap passes everything that goes through the proxy to a function. It must not
// keep the data.
func (p *Proxy) Tap(see func(source string, direction Direction, data []byte)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tap = see
}

func (p *Proxy) tapped() func(string, Direction, []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tap
}

func (p *Proxy) count(source string, direction Direction, n int) {
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

// Stats is the content of GET /admin/stats.
type Stats struct {
	Connections uint64           `json:"connections"`
	Open        int              `json:"open"`
	Bytes       map[string]Bytes `json:"bytes"`
}

// Stats returns the counts by source.
func (p *Proxy) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	stats := Stats{Connections: p.connections, Open: len(p.links), Bytes: make(map[string]Bytes)}
	for source, bytes := range p.bytes {
		stats.Bytes[source] = *bytes
	}
	return stats
}

// reset closes with a reset, so that the client sees a refusal.
func reset(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = connection.Close()
}
