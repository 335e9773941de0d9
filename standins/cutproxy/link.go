package cutproxy

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	bufferBytes = 16 << 10
	// queueChunks bounds the data that is in flight on a delayed link.
	queueChunks = 64
)

// Direction says which way data flows.
type Direction int

// Directions.
const (
	// Up is from the client to the target.
	Up Direction = iota
	// Down is from the target to the client.
	Down
)

// gate blocks data while it is frozen.
type gate struct {
	mu     sync.Mutex
	frozen bool
	opened chan struct{}
}

func newGate() *gate { return &gate{opened: make(chan struct{})} }

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.frozen = true
}

func (g *gate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen {
		g.frozen = false
		close(g.opened)
		g.opened = make(chan struct{})
	}
}

// wait returns false if the context ended before the gate was open.
func (g *gate) wait(ctx context.Context) bool {
	for {
		g.mu.Lock()
		frozen, opened := g.frozen, g.opened
		g.mu.Unlock()
		if !frozen {
			return ctx.Err() == nil
		}
		select {
		case <-opened:
		case <-ctx.Done():
			return false
		}
	}
}

type chunk struct {
	data []byte
	at   time.Time
}

// link is one connection through the proxy.
type link struct {
	proxy  *Proxy
	source string
	client net.Conn
	target net.Conn
	gates  [2]*gate
	ctx    context.Context
	cancel context.CancelFunc
}

// run forwards in both directions until both have ended.
func (l *link) run() {
	var both sync.WaitGroup
	both.Go(func() { l.forward(Up, l.client, l.target) })
	both.Go(func() { l.forward(Down, l.target, l.client) })
	both.Wait()
	l.close()
}

// close ends the connection on both sides.
func (l *link) close() {
	l.cancel()
	_ = l.client.Close()
	if l.target != nil {
		_ = l.target.Close()
	}
}

// forward copies one direction. Neither data nor the end of the connection
// passes while the gate is frozen.
func (l *link) forward(direction Direction, from, to net.Conn) {
	queue := make(chan chunk, queueChunks)
	go l.read(from, queue)
	for c := range queue {
		delay, limiter := l.proxy.shape(l.source, direction)
		if !l.pause(c.at.Add(delay), limiter, len(c.data)) || !l.gates[direction].wait(l.ctx) {
			return
		}
		if see := l.proxy.tapped(); see != nil {
			see(l.source, direction, c.data)
		}
		if _, err := to.Write(c.data); err != nil {
			l.close()
			return
		}
		l.proxy.count(l.source, direction, len(c.data))
	}
	if !l.gates[direction].wait(l.ctx) {
		return
	}
	if half, ok := to.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
}

func (l *link) read(from net.Conn, queue chan<- chunk) {
	defer close(queue)
	for {
		buffer := make([]byte, bufferBytes)
		n, err := from.Read(buffer)
		if n > 0 {
			select {
			case queue <- chunk{data: buffer[:n], at: time.Now()}:
			case <-l.ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *link) pause(until time.Time, limiter *rate.Limiter, n int) bool {
	if limiter != nil && limiter.WaitN(l.ctx, n) != nil {
		return false
	}
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.ctx.Done():
		return false
	}
}
