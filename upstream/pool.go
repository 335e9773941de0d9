// Package upstream keeps the connections to endpoints. It dials, hands a
// connection to one request at a time and keeps it for the next one. It never
// sends a request twice: what may be repeated is decided by its callers.
package upstream

import (
	"context"
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
	// DialTimeout bounds a new connection. A round trip between regions takes
	// 16 ms and the endpoint about 1 ms; a lost packet is sent again after
	// 200 ms and more.
	DialTimeout = 250 * time.Millisecond
	// userTimeout is how long sent data may stay unacknowledged before the
	// kernel gives a connection up (TCP_USER_TIMEOUT).
	userTimeout = 2 * time.Second
	// probeInterval and probeCount end a connection whose peer is gone while
	// nothing is sent.
	probeInterval = time.Second
	probeCount    = 2
	// defaultIdle is how long an idle connection is used again if the endpoint
	// does not state its own bound.
	defaultIdle = 2 * time.Second
	// idleShare is the part of the endpoint's stated bound that is used.
	idleShare = 0.6
	// maxIdle bounds the idle connections to one endpoint. Endpoints bound the
	// connections of all callers together.
	maxIdle = 3
)

// Options configures a Pool.
type Options struct {
	Clock bootclock.Func
}

// Pool keeps idle connections by endpoint. It is safe for concurrent use.
type Pool struct {
	clock     bootclock.Func
	transport *http.Transport
	mu        sync.Mutex
	idle      map[lifetime][]*Conn
}

// lifetime identifies one start of an endpoint at one address.
type lifetime struct {
	id          api.EndpointID
	incarnation int64
	address     string
}

// New returns an empty pool.
func New(o Options) *Pool {
	dialer := Dialer()
	return &Pool{
		clock: o.Clock,
		idle:  make(map[lifetime][]*Conn),
		transport: &http.Transport{
			DialContext:            dialer.DialContext,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
}

// maxHeaderBytes bounds the header of an endpoint's answer.
const maxHeaderBytes = 64 << 10

// Dialer returns a dialer whose connections end when their peer is silent.
func Dialer() *net.Dialer {
	return &net.Dialer{
		Timeout: DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}

// Conn is a connection to an endpoint, used by one request at a time.
type Conn struct {
	client *http.ClientConn
	key    lifetime
	// until is when the idle connection is no longer used.
	until time.Duration
}

// Get returns a connection to the endpoint: an idle one, or a new one. With
// fresh it is always a new one.
func (p *Pool) Get(ctx context.Context, endpoint registry.Endpoint, fresh bool) (*Conn, error) {
	key := keyOf(endpoint)
	if !fresh {
		if conn := p.takeIdle(key); conn != nil {
			return conn, nil
		}
	}
	ctx, cancel := context.WithTimeout(ctx, DialTimeout)
	defer cancel()
	client, err := p.transport.NewClientConn(ctx, "http", endpoint.Address)
	if err != nil {
		return nil, err
	}
	return &Conn{client: client, key: key}, nil
}

func keyOf(endpoint registry.Endpoint) lifetime {
	return lifetime{id: endpoint.ID, incarnation: endpoint.Incarnation, address: endpoint.Address}
}

func (p *Pool) takeIdle(key lifetime) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	list := p.idle[key]
	for len(list) > 0 {
		conn := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[key] = list
		if now < conn.until && conn.client.Err() == nil {
			return conn
		}
		conn.Close()
	}
	delete(p.idle, key)
	return nil
}

// Put keeps a connection whose answer was read to its end.
func (p *Pool) Put(conn *Conn, answer *http.Response) {
	idle, ok := idleBound(answer)
	if !ok || conn.client.Err() != nil {
		conn.Close()
		return
	}
	p.keep(conn, idle)
}

// PutUnused keeps a new connection on which nothing was sent.
func (p *Pool) PutUnused(conn *Conn) { p.keep(conn, defaultIdle/2) }

func (p *Pool) keep(conn *Conn, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[conn.key]) >= maxIdle {
		conn.Close()
		return
	}
	conn.until = p.clock() + idle
	p.idle[conn.key] = append(p.idle[conn.key], conn)
}

// CloseIdle closes the idle connections to a lifetime of an endpoint.
func (p *Pool) CloseIdle(endpoint registry.Endpoint) {
	key := keyOf(endpoint)
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.idle[key] {
		conn.Close()
	}
	delete(p.idle, key)
}

// CloseExpired closes idle connections that are no longer used.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, conn := range list {
			if now < conn.until && conn.client.Err() == nil {
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

// RoundTrip sends a request once.
func (c *Conn) RoundTrip(request *http.Request) (*http.Response, error) {
	return c.client.RoundTrip(request)
}

// Close ends the connection. An endpoint drops the request that runs on it.
func (c *Conn) Close() { _ = c.client.Close() }

// idleBound returns how long the connection of an answer may be idle before it
// is used again, and false if it may not be used again.
func idleBound(answer *http.Response) (time.Duration, bool) {
	if answer.Close {
		return 0, false
	}
	for _, part := range strings.Split(answer.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && s >= 0 {
			return time.Duration(float64(s) * idleShare * float64(time.Second)), true
		}
	}
	return defaultIdle, true
}
