package peer

import (
	"net"

	"github.com/uber-go/tally/v4"
)

// byteCounts counts the bytes of connections, HTTP headers included and TCP
// and IP headers not.
type byteCounts struct {
	sent     tally.Counter
	received tally.Counter
}

func newByteCounts(scope tally.Scope) byteCounts {
	return byteCounts{sent: scope.Counter("sent_bytes"), received: scope.Counter("received_bytes")}
}

type countedConn struct {
	net.Conn
	counts byteCounts
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counts.received.Inc(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counts.sent.Inc(int64(n))
	return n, err
}

// NewCountingListener returns a listener that counts the bytes of its connections.
func NewCountingListener(l net.Listener, scope tally.Scope) net.Listener {
	return &countedListener{Listener: l, counts: newByteCounts(scope.SubScope("server"))}
}

type countedListener struct {
	net.Listener
	counts byteCounts
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, counts: l.counts}, nil
}
