package generation

import (
	"sync"

	"github.com/hibiscusstair/hibiscusstair/reason"
)

// maxUnsent bounds the tokens that wait for a slow caller.
const maxUnsentTokens = 8192

// connection passes tokens from the loop to the goroutine of a caller.
type callerConnection struct {
	id     uint64
	stream bool

	mu       sync.Mutex
	unsent   []DeliverToken
	overflow bool
	ended    bool
	err      *reason.Error
	wake     chan struct{}
}

func newCallerConnection(id uint64, stream bool) *callerConnection {
	return &callerConnection{id: id, stream: stream, wake: make(chan struct{}, 1)}
}

func (c *callerConnection) wakeWriter() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *callerConnection) deliver(d DeliverToken) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended || c.overflow {
		return
	}
	if c.stream && len(c.unsent) >= maxUnsentTokens {
		c.overflow = true
		c.wakeWriter()
		return
	}
	c.unsent = append(c.unsent, d)
	if c.stream {
		c.wakeWriter()
	}
}

func (c *callerConnection) discardUnsent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unsent = nil
}

func (c *callerConnection) finish(err *reason.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return
	}
	c.ended = true
	c.err = err
	c.wakeWriter()
}

// take returns what is to be written and whether the answer ended.
func (c *callerConnection) takeUnsent() (batch []DeliverToken, ended, overflow bool, err *reason.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch = c.unsent
	c.unsent = nil
	return batch, c.ended, c.overflow, c.err
}
