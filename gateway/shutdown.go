package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/hibiscusstair/hibiscusstair/bootclock"
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

// stopWhenDone returns the actor that stops the instance when the context ends. New
// requests are accepted until the external load balancer has removed the instance;
// running requests may complete until shortly before the stop timeout, at which the
// process would be killed.
func (g *Gateway) stopWhenDone(ctx context.Context) (func() error, func(error)) {
	done := make(chan struct{})
	execute := func() error {
		select {
		case <-ctx.Done():
		case <-done:
			return nil
		}
		g.stop()
		return errStopped
	}
	return execute, func(error) { close(done) }
}

// stop announces to the fleet that the instance leaves, and waits until the running
// requests have completed, at most until exitReserve before the stop timeout.
func (g *Gateway) stop() {
	timeout := g.settings.Load().StopTimeout
	if timeout <= 0 {
		timeout = defaultStopTimeout
	}
	began := bootclock.Now()
	end := began + timeout - exitReserve
	g.stopDeadline.Store(int64(end))
	if g.admission != nil {
		g.admission.Stop()
	}
	g.o.Log.Info("stopping", "running", g.forwarder.ActiveRequests())
	if g.fleet != nil {
		ctx, cancel := context.WithTimeout(context.Background(), deregistrationDelay)
		defer cancel()
		g.fleet.Leave(ctx)
	}
	for bootclock.Now() < end {
		if bootclock.Now()-began >= deregistrationDelay && g.forwarder.ActiveRequests() == 0 {
			break
		}
		time.Sleep(stopPollInterval)
	}
	g.o.Log.Info("stopped", "running", g.forwarder.ActiveRequests(), "age_ms", (bootclock.Now() - began).Milliseconds())
}

// stopping reports whether the instance is stopping, and how long it continues to
// run in that case.
func (g *Gateway) stopping() (bool, time.Duration) {
	at := time.Duration(g.stopDeadline.Load())
	return at != 0, at - bootclock.Now()
}
