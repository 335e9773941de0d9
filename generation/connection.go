package generation

import (
	"sync"

	"github.com/hibiscusstair/hibiscusstair/reason"
)

// maxUnsent bounds the tokens that wait for a slow caller.
const maxUnsent = 8192

// connection passes tokens from the loop to the goroutine of a caller.
type connection struct {
	id     uint64
	stream bool

	mu       sync.Mutex
	unsent   []Deliver
	overflow bool
	ended    bool
	err      *reason.Error
	wake     chan struct{}
}

func newConnection(id uint64, stream bool) *connection {
	return &connection{id: id, stream: stream, wake: make(chan struct{}, 1)}
}

func (c *connection) signal() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *connection) deliver(d Deliver) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.overflow {
		return
	}
	if c.stream && len(c.unsent) >= maxUnsent {
		c.overflow = true
		c.signal()
		return
	}
	c.unsent = append(c.unsent, d)
	if c.stream {
		c.signal()
	}
}

func (c *connection) restart() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent = nil
}

func (c *connection) finish(err *reason.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.err = err
	c.signal()
}

// take returns what is to be written and whether the answer ended.
func (c *connection) take() (batch []Deliver, ended, overflow bool, err *reason.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch = c.unsent
	c.unsent = nil
	return batch, c.ended, c.overflow, c.err
}
