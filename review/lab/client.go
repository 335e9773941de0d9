//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	host   = "ficu95.example"
	tenant = "huka270"
	apiKey = "xd9dnn2ctnfzs989anu6"
)

// request is a client's request.
type request struct {
	id       string
	method   string
	path     string
	body     string
	deadline time.Duration
	// header are further header lines.
	header []string
}

func (r request) head() string {
	lines := []string{
		r.method + " " + r.path + " HTTP/1.1", "Host: " + host, name("attempt-id") + ": " + r.id,
		fmt.Sprintf("%s: %d", name("deadline-ms"), r.deadline.Milliseconds()), name("api-key") + ": " + apiKey,
	}
	if r.method != http.MethodGet {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(r.body)))
	}
	return strings.Join(append(lines, r.header...), "\r\n") + "\r\n\r\n"
}

// answer is what a client has received.
type answer struct {
	status int // 0: none
	signed bool
	body   string
	close  bool // the answer ends the channel
	err    error
	at     time.Time
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no complete answer (status %d): %s", a.status, a.err)
	}
	return fmt.Sprintf("status %d, signed %t, %d bytes", a.status, a.signed, len(a.body))
}

// channel is a client's channel to a machine, which it keeps for several requests.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
}

func openChannel(address string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (c *channel) write(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// read reads one answer.
func (c *channel) read(timeout time.Duration) answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	body, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, signed: response.Header.Get(name("signature")) != "", body: string(body), close: response.Close, err: err, at: time.Now(),
	}
}

// send sends a request on the channel and returns the answer.
func (c *channel) send(r request) answer {
	if err := c.write(r.head() + r.body); err != nil {
		return answer{err: err, at: time.Now()}
	}
	return c.read(r.deadline + time.Second)
}

func (c *channel) close() { _ = c.conn.Close() }

// sendOnce sends a request on a channel of its own.
func (l *lab) sendOnce(g *gateway, r request) answer {
	l.record.add("client sends %s %s %s to %s", r.id, r.method, r.path, g.name)
	c, err := openChannel(g.front)
	if err != nil {
		l.record.add("client of %s: %s", r.id, err)
		return answer{err: err, at: time.Now()}
	}
	defer c.close()
	a := c.send(r)
	l.record.add("client of %s gets: %s", r.id, a)
	return a
}
