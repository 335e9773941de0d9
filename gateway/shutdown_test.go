package gateway

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against a request that is cut because it arrived after the last count of running requests.
func TestShutDownCompletesLastRequests(t *testing.T) {
	arrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		close(arrived)
		time.Sleep(50 * time.Millisecond)
		_, _ = io.WriteString(w, "whole")
	}))
	defer server.Close()
	body := make(chan string, 1)
	go func() {
		response, err := http.Get(server.URL)
		if err != nil {
			body <- err.Error()
			return
		}
		defer response.Body.Close()
		text, _ := io.ReadAll(response.Body)
		body <- string(text)
	}()
	<-arrived
	shutDown(server.Config, lastRequestsTimeout)
	if got := <-body; got != "whole" {
		t.Fatalf("response %q, want the whole body", got)
	}
}

// Guards against a process that is killed because a request without an end keeps its server open.
func TestShutDownEnds(t *testing.T) {
	arrived := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(arrived)
		<-r.Context().Done()
	}))
	defer server.Close()
	go func() { _, _ = http.Get(server.URL) }()
	<-arrived
	began := time.Now()
	shutDown(server.Config, 20*time.Millisecond)
	if took := time.Since(began); took > time.Second {
		t.Fatalf("the server needed %s to close", took)
	}
}
