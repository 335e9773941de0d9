package peer

import (
	"net"

	"github.com/uber-go/tally/v4"
)

// byteCounts counts the bytes on connections: HTTP headers are included, TCP and
// IP headers are not.
type byteCounts struct {
	sent     tally.Counter
	received tally.Counter
}

func newByteCounts(scope tally.Scope) byteCounts {
	return byteCounts{sent: scope.Counter("sent_bytes"), received: scope.Counter("received_bytes")}
}

// countingConn counts the bytes that are read and written.
type countingConn struct {
	net.Conn
	counts byteCounts
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counts.received.Inc(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counts.sent.Inc(int64(n))
	return n, err
}

// NewCountingListener returns a listener that counts the bytes of its connections.
func NewCountingListener(l net.Listener, scope tally.Scope) net.Listener {
	return &countingListener{Listener: l, counts: newByteCounts(scope.SubScope("server"))}
}

// countingListener accepts connections of type countingConn.
type countingListener struct {
	net.Listener
	counts byteCounts
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: conn, counts: l.counts}, nil
}
