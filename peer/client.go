package peer

import (
	"bytes"
	"context"
	"crypto/hmac"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/internal/transfer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

const (
	// callTimeout bounds every call that has no earlier deadline. It is below
	// the 2 s without contact after which a ring neighbour is probed.
	callTimeout = 1500 * time.Millisecond
	// probeTimeout bounds a probe including its new connection.
	probeTimeout = 500 * time.Millisecond
	// dialTimeout bounds the setup of a new connection.
	dialTimeout = 500 * time.Millisecond
	// idleConnTimeout is the time after which an idle connection is closed. It is
	// longer than the heartbeat interval, so that ring neighbours keep their
	// connections.
	idleConnTimeout = 10 * time.Second
	// maxIdleConnsPerPeer is the number of pooled idle connections to an instance.
	maxIdleConnsPerPeer = 2
)

// Clients creates clients of other instances. They share one connection pool,
// except that each probe uses a new connection.
type Clients struct {
	signer     signer
	pooledHTTP *http.Client
	// relayHTTP uses the connections of pooledHTTP without its timeout: the caller
	// bounds a call by its progress.
	relayHTTP *http.Client
	probeHTTP *http.Client
}

// NewClients returns the Clients of an instance, which sign with the secret. The
// bytes on their connections are counted in the scope.
func NewClients(secret string, scope tally.Scope) *Clients {
	s := signer{secret: []byte(secret), now: time.Now}
	counts := newByteCounts(scope.SubScope("client"))
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		d := net.Dialer{Timeout: dialTimeout}
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &countingConn{Conn: conn, counts: counts}, nil
	}
	pooledTransport := &http.Transport{DialContext: dial, DisableCompression: true, MaxIdleConnsPerHost: maxIdleConnsPerPeer, IdleConnTimeout: idleConnTimeout}
	probeTransport := &http.Transport{DialContext: dial, DisableCompression: true, DisableKeepAlives: true}
	pooled := &signedTransport{next: transfer.Transport{Next: pooledTransport}, signer: s}
	return &Clients{
		signer:     s,
		pooledHTTP: &http.Client{Transport: pooled, Timeout: callTimeout},
		relayHTTP:  &http.Client{Transport: pooled},
		probeHTTP:  &http.Client{Transport: &signedTransport{next: probeTransport, signer: s}, Timeout: probeTimeout},
	}
}

// Client returns a client of the instance at the address (host and port).
func (c *Clients) Client(address string) peerpb.Peer {
	url := "http://" + address
	prefix := twirp.WithClientPathPrefix(PathPrefix)
	return client{
		Peer:        peerpb.NewPeerProtobufClient(url, c.pooledHTTP, prefix),
		probeClient: peerpb.NewPeerProtobufClient(url, c.probeHTTP, prefix),
	}
}

// Relay returns a relay client of the instance at the address (host and port). Its
// calls have no timeout of their own; package transfer bounds them.
func (c *Clients) Relay(address string) peerpb.Relay {
	return peerpb.NewRelayProtobufClient("http://"+address, c.relayHTTP, twirp.WithClientPathPrefix(PathPrefix))
}

// Permits returns a client of the instance at the address (host and port) that asks
// it for permits.
func (c *Clients) Permits(address string) peerpb.Permits {
	return peerpb.NewPermitsProtobufClient("http://"+address, c.pooledHTTP, twirp.WithClientPathPrefix(PathPrefix))
}

// Rollouts returns a client of the instance at the address (host and port) that reports
// to it.
func (c *Clients) Rollouts(address string) peerpb.Rollouts {
	return peerpb.NewRolloutsProtobufClient("http://"+address, c.pooledHTTP, twirp.WithClientPathPrefix(PathPrefix))
}

// Close closes the idle pooled connections.
func (c *Clients) Close() { c.pooledHTTP.CloseIdleConnections() }

// client uses pooled connections for all calls except Probe.
type client struct {
	peerpb.Peer
	probeClient peerpb.Peer
}

// Probe always uses a new connection, because an open connection can be stalled
// while new ones work.
func (c client) Probe(ctx context.Context, r *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	return c.probeClient.Probe(ctx, r)
}

// signedTransport signs requests and verifies the signatures of responses.
type signedTransport struct {
	next   http.RoundTripper
	signer signer
}

func (t *signedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	_ = r.Body.Close()
	authValue := t.signer.signRequest(r.Method, r.URL.Path, body)
	out, err := http.NewRequestWithContext(r.Context(), r.Method, r.URL.String(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Send only the headers that the receiver needs: the other twirp headers would
	// add about 100 bytes to each message.
	out.Header.Set(authHeader, authValue)
	out.Header["User-Agent"] = nil
	response, err := t.next.RoundTrip(out)
	if err != nil {
		return nil, err
	}
	return t.verifyResponse(authValue, response)
}

// verifyResponse reads the body and checks the signature of a response. authValue is
// the value of authHeader of the request. A body of more than maxMessageBytes is cut,
// so that its signature is not valid.
func (t *signedTransport) verifyResponse(authValue string, response *http.Response) (*http.Response, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxMessageBytes+1))
	_ = response.Body.Close()
	if err != nil {
		return nil, err
	}
	want := t.signer.signResponse(authValue, response.StatusCode, body)
	if !hmac.Equal([]byte(want), []byte(response.Header.Get(authHeader))) {
		return nil, fmt.Errorf("%w (status %d)", errInvalidSignature, response.StatusCode)
	}
	response.Body = io.NopCloser(bytes.NewReader(body))
	return response, nil
}
