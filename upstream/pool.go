// Package upstream pools the connections to endpoints. It dials, lends a
// connection to one request at a time and keeps it for the next one. It never
// retries a request; its callers decide about retries.
package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

const (
	// DialTimeout bounds the setup of a connection. A round trip between
	// regions takes 16 ms and accepting at the endpoint about 1 ms; a lost
	// packet is retransmitted after 200 ms or more.
	DialTimeout = 250 * time.Millisecond
	// userTimeout is how long sent data may stay unacknowledged before the
	// kernel closes the connection (TCP_USER_TIMEOUT).
	userTimeout = 2 * time.Second
	// keepAliveInterval and keepAliveProbes detect a lost peer on an idle
	// connection.
	keepAliveInterval = time.Second
	keepAliveProbes   = 2
	// defaultIdleTimeout is how long an idle connection may be reused if the
	// endpoint states no timeout of its own.
	defaultIdleTimeout = 2 * time.Second
	// idleTimeoutShare is the share of the endpoint's stated idle timeout that
	// is used, so that no request is sent while the endpoint closes the
	// connection.
	idleTimeoutShare = 0.6
	// maxIdleConns bounds the idle connections to one endpoint. Endpoints limit
	// the connections of all callers together.
	maxIdleConns = 3
)

// Options configures a Pool.
type Options struct {
	Clock bootclock.Func
	// SocketBufferBytes is the size of the kernel's buffers of a connection; 0 leaves it to
	// the kernel.
	SocketBufferBytes int
}

// Pool keeps idle connections by endpoint. It is safe for concurrent use.
type Pool struct {
	clock     bootclock.Func
	transport *http.Transport
	mu        sync.Mutex
	idle      map[connKey][]*Conn
}

// connKey identifies one incarnation of an endpoint at one address.
type connKey struct {
	id          api.EndpointID
	incarnation int64
	address     string
}

// New returns an empty pool.
func New(o Options) *Pool {
	return &Pool{
		clock: o.Clock,
		idle:  make(map[connKey][]*Conn),
		transport: &http.Transport{
			DialContext:            dialTracked(dialerWithBuffers(o.SocketBufferBytes)),
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
}

// maxHeaderBytes bounds the header of an endpoint's response.
const maxHeaderBytes = 64 << 10

// Dialer returns a dialer whose connections are closed when their peer stops
// responding.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var sockoptErr error
			err := raw.Control(func(fd uintptr) {
				sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockoptErr
		},
	}
}

// dialerWithBuffers returns a Dialer whose connections have kernel buffers of the size; 0
// leaves it to the kernel.
func dialerWithBuffers(size int) *net.Dialer {
	dialer := Dialer()
	if size > 0 {
		setTimeout := dialer.Control
		dialer.Control = func(network, address string, raw syscall.RawConn) error {
			return errors.Join(setTimeout(network, address, raw), SetSocketBuffers(raw, size))
		}
	}
	return dialer
}

// SetSocketBuffers sets the size of the kernel's buffers of a connection, or of those that a
// listener accepts.
func SetSocketBuffers(raw syscall.RawConn, size int) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, size),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size),
		)
	})
	return errors.Join(err, sockoptErr)
}

// Conn is a connection to an endpoint, used by one request at a time.
type Conn struct {
	client *http.ClientConn
	net    *netConn
	key    connKey
	// reusableUntil is the boot clock time until which the idle connection may
	// be reused.
	reusableUntil time.Duration
}

// Get returns a connection to the endpoint: an idle one if there is one and
// fresh is false, otherwise a new one.
func (p *Pool) Get(ctx context.Context, endpoint registry.Endpoint, fresh bool) (*Conn, error) {
	key := keyOf(endpoint)
	if !fresh {
		if conn := p.takeIdle(key); conn != nil {
			return conn, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	var dialed *netConn
	client, err := p.transport.NewClientConn(context.WithValue(ctx, dialedKey{}, &dialed), "http", endpoint.Address)
	if err != nil {
		return nil, err
	}
	return &Conn{client: client, net: dialed, key: key}, nil
}

func keyOf(endpoint registry.Endpoint) connKey {
	return connKey{id: endpoint.ID, incarnation: endpoint.Incarnation, address: endpoint.Address}
}

func (p *Pool) takeIdle(key connKey) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	list := p.idle[key]
	for len(list) > 0 {
		conn := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[key] = list
		if now < conn.reusableUntil && conn.client.Err() == nil {
			return conn
		}
		conn.Close()
	}
	delete(p.idle, key)
	return nil
}

// Put gives a connection back to the pool after its response was read
// completely. One whose request was not written or whose response was not read
// to its end is closed: the next response could be that of another request.
func (p *Pool) Put(conn *Conn, response *http.Response) {
	timeout, ok := idleTimeout(response)
	if !ok || conn.client.Err() != nil || !conn.net.exchangeEnded() {
		conn.Close()
		return
	}
	p.addIdle(conn, timeout)
}

// PutUnused adds a new connection on which nothing was sent.
func (p *Pool) PutUnused(conn *Conn) { p.addIdle(conn, defaultIdleTimeout/2) }

func (p *Pool) addIdle(conn *Conn, timeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[conn.key]) >= maxIdleConns {
		conn.Close()
		return
	}
	conn.reusableUntil = p.clock() + timeout
	p.idle[conn.key] = append(p.idle[conn.key], conn)
}

// CloseIdle closes the idle connections to an incarnation of an endpoint.
func (p *Pool) CloseIdle(endpoint registry.Endpoint) {
	key := keyOf(endpoint)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle[key] {
		conn.Close()
	}
	delete(p.idle, key)
}

// CloseExpired closes idle connections that are broken or have reached their
// idle timeout.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, conn := range list {
			if now < conn.reusableUntil && conn.client.Err() == nil {
				kept = append(kept, conn)
				continue
			}
			conn.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = kept
	}
}

// Close closes the connection. The endpoint then cancels the request that runs
// on it.
func (c *Conn) Close() { _ = c.client.Close() }

// idleTimeout returns how long the connection of a response may be idle and
// still be reused, and false if it must not be reused.
func idleTimeout(response *http.Response) (time.Duration, bool) {
	if response.Close {
		return 0, false
	}
	for _, part := range strings.Split(response.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && s >= 0 {
			return time.Duration(float64(s) * idleTimeoutShare * float64(time.Second)), true
		}
	}
	return defaultIdleTimeout, true
}
