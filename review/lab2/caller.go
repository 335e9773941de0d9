//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// outcome is what a caller got.
type outcome struct {
	attempt  string
	sent     time.Time
	status   int
	events   int
	complete bool
	err      error
}

// sendStream sends a streaming request on a channel of its own and reads the events.
func sendStream(in *instance, attempt, path string, events int, limit time.Duration) outcome {
	header := http.Header{}
	header.Set(name("usage"), fmt.Sprintf("400,%d", events*tokensPerEvent))
	header.Set(name("prefix"), fmt.Sprintf("%x:400", attempt))
	header.Set(name("model"), "m")
	o, response, cancel := send(in, apiKey, http.MethodPost, attempt, path, header, strings.NewReader("prompt of "+attempt), limit)
	defer cancel()
	if response == nil {
		return o
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return o
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			if n, err := strconv.Atoi(id); err == nil && n == o.events+1 {
				o.events = n
			}
		}
	}
	o.err = lines.Err()
	o.complete = o.err == nil && o.events == events
	return o
}

// sendPlain sends a plain request on a channel of its own and reads the answer.
func sendPlain(in *instance, method, attempt, path string, limit time.Duration) outcome {
	return sendPlainAs(in, apiKey, method, attempt, path, limit)
}

// sendPlainAs is sendPlain with the key of a tenant.
func sendPlainAs(in *instance, key, method, attempt, path string, limit time.Duration) outcome {
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader("order " + attempt)
	}
	o, response, cancel := send(in, key, method, attempt, path, http.Header{}, body, limit)
	defer cancel()
	if response == nil {
		return o
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	o.err = err
	o.complete = err == nil && response.StatusCode == http.StatusOK && string(text) == "done "+attempt
	return o
}

func send(in *instance, key, method, attempt, path string, header http.Header, body io.Reader, limit time.Duration) (outcome, *http.Response, context.CancelFunc) {
	o := outcome{attempt: attempt, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	request, err := http.NewRequestWithContext(ctx, method, "http://"+in.front+path, body)
	if err != nil {
		o.err = err
		return o, nil, cancel
	}
	request.Host = host
	for field, values := range header {
		request.Header[field] = values
	}
	request.Header.Set(name("attempt"), attempt)
	request.Header.Set(name("deadline"), strconv.FormatInt(limit.Milliseconds(), 10))
	request.Header.Set(name("key"), key)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: (&net.Dialer{Timeout: time.Second}).DialContext}
	response, err := transport.RoundTrip(request)
	if err != nil {
		o.err = err
		return o, nil, cancel
	}
	o.status = response.StatusCode
	return o, response, cancel
}
