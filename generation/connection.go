package generation

import (
	"sync"

	"github.com/hibiscusstair/hibiscusstair/reason"
)

// maxUnsentTokens bounds the tokens that are buffered for a slow caller.
const maxUnsentTokens = 8192

// callerConnection passes tokens from the event loop to the goroutine that writes
// the response to the caller.
type callerConnection struct {
	id     uint64
	stream bool

	mu       sync.Mutex
	unsent   []DeliverToken
	overflow bool // unsent was full; the connection has to be closed
	ended    bool
	err      *reason.Error
	wake     chan struct{} // signals the writer; capacity 1
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

// takeUnsent removes and returns the buffered tokens, and returns whether the
// response ended, whether the buffer overflowed, and the error of the response.
func (c *callerConnection) takeUnsent() (batch []DeliverToken, ended, overflow bool, err *reason.Error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch = c.unsent
	c.unsent = nil
	return batch, c.ended, c.overflow, c.err
}
