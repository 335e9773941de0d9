package httpapi

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// Guards against senders that never finish their body and so keep their
// connections open forever.
func TestSlowBodyIsRefused(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := readBody(w, r, 1<<20, 50*time.Millisecond); err != nil {
			WriteError(w, err)
		}
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nabc"); err != nil {
		t.Fatal(err)
	}
	response, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.HasPrefix(string(response), "HTTP/1.1 400") || !strings.Contains(string(response), "did not arrive") {
		t.Fatalf("response to an unfinished body: %q", response)
	}
}

// Guards against a read deadline that is still set after the body was read and
// cancels a streamed response.
func TestDeadlineEndsWithTheBody(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := readBody(w, r, 1<<20, 20*time.Millisecond); err != nil {
			WriteError(w, err)
			return
		}
		select {
		case <-r.Context().Done():
			WriteJSON(w, http.StatusInternalServerError, nil)
		case <-time.After(100 * time.Millisecond):
			WriteJSON(w, http.StatusOK, nil)
		}
	}))
	defer server.Close()
	response, err := http.Post(server.URL, "application/json", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		t.Fatalf("status %d: the request was cancelled during its response", response.StatusCode)
	}
}
