package cutproxy

import (
	"context"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// bufferBytes is the most data that one read returns.
	bufferBytes = 16 << 10
	// maxQueuedChunks is the number of chunks of one direction of a connection
	// that are queued while they are delayed.
	maxQueuedChunks = 64
)

// Direction is the direction of a data flow.
type Direction int

// Directions.
const (
	// Up is from the client to the target.
	Up Direction = iota
	// Down is from the target to the client.
	Down
)

// gate blocks the data of one direction of a connection while it is frozen.
type gate struct {
	mu     sync.Mutex
	frozen bool
	thawed chan struct{} // closed and replaced when the gate is thawed
}

func newGate() *gate { return &gate{thawed: make(chan struct{})} }

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
		close(g.thawed)
		g.thawed = make(chan struct{})
	}
}

// wait waits until the gate is not frozen. It returns false if the context ends
// first.
func (g *gate) wait(ctx context.Context) bool {
	for {
		g.mu.Lock()
		frozen, thawed := g.frozen, g.thawed
		g.mu.Unlock()
		if !frozen {
			return ctx.Err() == nil
		}
		select {
		case <-thawed:
		case <-ctx.Done():
			return false
		}
	}
}

// chunk is data that waits to be forwarded.
type chunk struct {
	data       []byte
	receivedAt time.Time
}

// proxiedConn is one connection through the proxy.
type proxiedConn struct {
	proxy  *Proxy
	source string
	client net.Conn
	target net.Conn
	gates  [2]*gate
	ctx    context.Context
	cancel context.CancelFunc
}

// run forwards data until both directions have ended.
func (conn *proxiedConn) run() {
	var both sync.WaitGroup
	both.Go(func() { conn.forward(Up, conn.client, conn.target) })
	both.Go(func() { conn.forward(Down, conn.target, conn.client) })
	both.Wait()
	conn.close()
}

// close closes the connections to the client and to the target.
func (conn *proxiedConn) close() {
	conn.cancel()
	_ = conn.client.Close()
	if conn.target != nil {
		_ = conn.target.Close()
	}
}

// forward copies the data of one direction. While the gate is frozen it forwards
// neither data nor the end of the stream.
func (conn *proxiedConn) forward(direction Direction, src, dst net.Conn) {
	queue := make(chan chunk, maxQueuedChunks)
	go conn.read(src, queue)
	for c := range queue {
		delay, limiter := conn.proxy.delayAndLimiter(conn.source, direction)
		if !conn.delayChunk(c.receivedAt.Add(delay), limiter, len(c.data)) || !conn.gates[direction].wait(conn.ctx) {
			return
		}
		if tap := conn.proxy.currentTap(); tap != nil {
			tap(conn.source, direction, c.data)
		}
		if _, err := dst.Write(c.data); err != nil {
			conn.close()
			return
		}
		conn.proxy.countBytes(conn.source, direction, len(c.data))
	}
	if !conn.gates[direction].wait(conn.ctx) {
		return
	}
	if tcp, ok := dst.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// read queues the received data with its time of receipt until the connection
// ends.
func (conn *proxiedConn) read(src net.Conn, queue chan<- chunk) {
	defer close(queue)
	for {
		buffer := make([]byte, bufferBytes)
		n, err := src.Read(buffer)
		if n > 0 {
			select {
			case queue <- chunk{data: buffer[:n], receivedAt: time.Now()}:
			case <-conn.ctx.Done():
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// delayChunk waits until the limiter allows n bytes and the time at is reached. It
// returns false if the connection is closed first.
func (conn *proxiedConn) delayChunk(at time.Time, limiter *rate.Limiter, n int) bool {
	if limiter != nil && limiter.WaitN(conn.ctx, n) != nil {
		return false
	}
	timer := time.NewTimer(time.Until(at))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-conn.ctx.Done():
		return false
	}
}
