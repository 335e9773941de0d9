package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// ErrInvalidStatus means that the status of a response is below 200 or above 599.
// net/http accepts such a status from a server and panics when it is forwarded.
var ErrInvalidStatus = errors.New("the status of the response is invalid")

const (
	minStatus = http.StatusOK
	maxStatus = 599
)

// netConn is the network connection under a Conn. It tells the end of a response from the
// end of the connection: if the endpoint resets the connection while a request is being
// written, the kernel may report the reset to the writer and to the reader the end of the
// data, and the part of a response without a length looks complete.
type netConn struct {
	net.Conn
	mu      sync.Mutex
	changed *sync.Cond
	writing bool // a write is in progress
	failed  bool // a write has failed
	closed  bool

	// The exchange in progress, or the last one.
	began        bool  // there was an exchange
	length       int64 // of the request's body
	written      int64 // bytes of the request, with its header
	bodyRead     bool  // the request's body was read to its end, to be written
	responseRead bool  // the response was read to its end
}

func newNetConn(conn net.Conn) *netConn {
	c := &netConn{Conn: conn}
	c.changed = sync.NewCond(&c.mu)
	return c
}

// begin begins the exchange of a request.
func (c *netConn) begin(request *http.Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.began = true
	c.length, c.written = max(0, request.ContentLength), 0
	c.bodyRead, c.responseRead = request.Body == nil || request.Body == http.NoBody, false
}

// Write implements io.Writer.
func (c *netConn) Write(p []byte) (int, error) {
	c.update(func() { c.writing = true })
	n, err := c.Conn.Write(p)
	c.update(func() {
		c.writing = false
		c.written += int64(n)
		c.failed = c.failed || err != nil
	})
	return n, err
}

// Read implements io.Reader. It returns io.EOF only once the endpoint has the whole request,
// and io.ErrUnexpectedEOF if it cannot get it.
func (c *netConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) && !(c.awaitUpload() && c.awaitAcknowledged()) {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// Close implements io.Closer.
func (c *netConn) Close() error {
	c.update(func() { c.closed = true })
	return c.Conn.Close()
}

// awaitUpload waits until the request was written or cannot be. The body is in memory, and a
// write to an endpoint that does not read fails after userTimeout or when the request is
// cancelled, so the wait ends.
func (c *netConn) awaitUpload() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.uploaded() && !c.failed && !c.closed {
		c.changed.Wait()
	}
	return c.uploaded()
}

// awaitAcknowledged waits until the endpoint has acknowledged all that was written, or cannot.
// The end of the data of an endpoint that received the whole request acknowledges it, so that
// there is usually no wait.
func (c *netConn) awaitAcknowledged() bool {
	for poll := minAcknowledgedPoll; ; poll = min(2*poll, maxAcknowledgedPoll) {
		unacknowledged, open := c.sendQueue()
		if unacknowledged == 0 || !open {
			return unacknowledged == 0
		}
		time.Sleep(poll)
	}
}

// minAcknowledgedPoll and maxAcknowledgedPoll bound the interval at which the kernel is asked
// whether the rest of a request was acknowledged. A round trip between regions takes 16 ms; an
// endpoint that reads nothing keeps the request unacknowledged for userTimeout.
const (
	minAcknowledgedPoll = 5 * time.Millisecond
	maxAcknowledgedPoll = 80 * time.Millisecond
)

// sendQueue returns the number of bytes that the endpoint has not acknowledged, and whether
// it still can.
func (c *netConn) sendQueue() (unacknowledged int, open bool) {
	unacknowledged = 1
	control, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, false
	}
	raw, err := control.SyscallConn()
	if err != nil {
		return unacknowledged, false
	}
	_ = raw.Control(func(fd uintptr) {
		queued, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
		if err != nil && !errors.Is(err, unix.EBADF) {
			// Without the size of the queue, the request counts as acknowledged once it
			// is written.
			unacknowledged = 0
			return
		}
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		unacknowledged, open = queued, err == nil && info.State != unix.BPF_TCP_CLOSE
	})
	return unacknowledged, open
}

// Received returns how many bytes have arrived on the connection, and how many of them wait to be
// read; false if it is unknown.
func (c *Conn) Received() (total uint64, unread int, known bool) {
	control, ok := c.net.Conn.(syscall.Conn)
	if !ok {
		return 0, 0, false
	}
	raw, err := control.SyscallConn()
	if err != nil {
		return 0, 0, false
	}
	_ = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		queued, queueErr := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
		if infoErr == nil && queueErr == nil {
			total, unread, known = info.Bytes_received, queued, true
		}
	})
	return total, unread, known
}

// uploaded reports whether no request remains to be written. The header has at least one
// byte, and net/http writes it together with a body that fits into its buffer.
func (c *netConn) uploaded() bool {
	return !c.began || c.bodyRead && !c.writing && !c.failed && c.written > c.length
}

// exchangeEnded reports whether the request was written and the response read to its end.
func (c *netConn) exchangeEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.uploaded() && c.responseRead
}

func (c *netConn) update(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
	c.changed.Broadcast()
}

// endObserver calls onEnd when the body has been read to its end.
type endObserver struct {
	io.ReadCloser
	onEnd func()
}

// Read implements io.Reader.
func (o endObserver) Read(p []byte) (int, error) {
	n, err := o.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		o.onEnd()
	}
	return n, err
}

// RoundTrip sends a request once. A response that breaks off before the request is written
// gives io.ErrUnexpectedEOF when its body is read, also if it has neither a length nor chunks.
func (c *Conn) RoundTrip(request *http.Request) (*http.Response, error) {
	c.net.begin(request)
	sent := request.WithContext(request.Context())
	if request.Body != nil {
		sent.Body = endObserver{request.Body, func() { c.net.update(func() { c.net.bodyRead = true }) }}
	}
	response, err := c.client.RoundTrip(sent)
	if err != nil {
		return nil, err
	}
	if response.StatusCode < minStatus || response.StatusCode > maxStatus {
		c.Close()
		return nil, ErrInvalidStatus
	}
	onEnd := func() { c.net.update(func() { c.net.responseRead = true }) }
	if response.Body == http.NoBody {
		onEnd()
	}
	response.Body = endObserver{response.Body, onEnd}
	return response, nil
}

// dialedKey is the context key of a **netConn that receives the connection dialled.
type dialedKey struct{}

// dialTracked returns a dial function for a transport whose connections are tracked.
func dialTracked(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tracked := newNetConn(conn)
		if dialed, ok := ctx.Value(dialedKey{}).(**netConn); ok {
			*dialed = tracked
		}
		return tracked, nil
	}
}
