// Package process has what the mains of all stand-ins share: the listener, the
// end by signal and JSON bodies.
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
	// closeTimeout bounds the wait for answers that are being written after drain.
	closeTimeout = 2 * time.Second
	maxBodyBytes = 16 << 20
)

// Serve answers on the address until SIGTERM or SIGINT, then calls drain, which
// returns when running work has ended, and closes.
func Serve(ctx context.Context, address string, handler http.Handler, drain func()) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	if drain != nil {
		drain()
	}
	// A long poll may outlast the bound; it is cut off.
	closing, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if server.Shutdown(closing) != nil {
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

// WriteError writes {"error": message}.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, map[string]string{"error": message})
}

// ReadJSON reads a bounded JSON body. On failure it answers 400 and returns
// false.
func ReadJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(into)
	if err != nil && !errors.Is(err, io.EOF) {
		WriteError(w, http.StatusBadRequest, "malformed body: "+err.Error())
		return false
	}
	// The server notices a closed connection only after the whole body is read.
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
