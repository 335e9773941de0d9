// Package process has the HTTP server code that the stand-ins share: listening,
// shutdown on a signal, and reading and writing JSON bodies.
package process

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"os/signal"
	"syscall"
	"time"
)

const (
	readHeaderTimeout = 5 * time.Second
	// shutdownTimeout is how long responses that are in progress after the drain
	// may take.
	shutdownTimeout = 2 * time.Second
	maxBodyBytes    = 16 << 20
)

// Serve serves HTTP on the address until ctx ends or the process receives SIGTERM
// or SIGINT, calls drain if it is not nil, and shuts the server down. drain has to
// return when the running work has ended.
func Serve(ctx context.Context, address string, handler http.Handler, drain func()) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	serveError := make(chan error, 1)
	go func() { serveError <- server.Serve(listener) }()
	select {
	case err := <-serveError:
		return err
	case <-ctx.Done():
	}
	if drain != nil {
		drain()
	}
	// A long poll may take longer than the timeout; its connection is closed.
	shutdown, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if server.Shutdown(shutdown) != nil {
		return server.Close()
	}
	return nil
}

// WriteJSON writes a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// WriteError writes the body {"error": message}.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, map[string]string{"error": message})
}

// ReadJSON decodes at most maxBodyBytes of a JSON body; an empty body leaves the
// value as it is. If the body is malformed, it responds with status 400 and
// returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(into)
	if err != nil && !errors.Is(err, io.EOF) {
		WriteError(w, http.StatusBadRequest, "malformed body: "+err.Error())
		return false
	}
	// The HTTP server detects a closed connection only after the whole body has
	// been read.
	_, _ = io.Copy(io.Discard, r.Body)
	return true
}

// CloseWithoutResponse closes the connection without a response.
func CloseWithoutResponse(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}
