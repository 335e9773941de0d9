package gateway

import (
	"context"
	"net/http"
	"time"
)

// lastRequestsTimeout is how long the caller listener waits at the end of a stop for
// requests that arrived after the last count of running requests. It is a part of
// exitReserve.
const lastRequestsTimeout = 250 * time.Millisecond

// shutDown closes the listener and the idle connections of a server, waits for its
// requests up to the timeout, and then closes the rest.
func shutDown(server *http.Server, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
