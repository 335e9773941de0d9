//go:build review

package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"time"
)

// channel is a connection of a client.
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

// answer is what a client got for a request.
type answer struct {
	status    int
	signature string
	body      string
	err       error // the channel ended without a complete answer
}

func (c *channel) send(text string) error {
	_, err := io.WriteString(c.conn, text)
	return err
}

// receive reads an answer.
func (c *channel) receive(p protocol, timeout time.Duration) answer {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return answer{status: response.StatusCode, signature: response.Header.Get(p.SignatureHeader), body: string(body), err: err}
}
