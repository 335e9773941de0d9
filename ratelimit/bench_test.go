package ratelimit_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/ratelimit"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

// noPeer implements the calls of instances that are not measured.
type noPeer struct{ peerpb.Peer }

// newBenchLimiter returns a limiter among 330 instances, of which self is one, and
// an endpoint with a limit.
func newBenchLimiter(self string, clients func(string) peerpb.Permits, address string) (*ratelimit.Limiter, registry.Endpoint) {
	var members []api.Member
	for i := range 330 {
		members = append(members, api.Member{ID: api.InstanceID(fmt.Sprintf("n%d", i)), Address: address, State: api.MemberAlive})
	}
	l := ratelimit.New(ratelimit.Options{
		Self: api.InstanceID(self), Members: func() []api.Member { return members }, PermitClient: clients,
		Clock: bootclock.Now, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
	})
	e := registry.Endpoint{ID: "e", Incarnation: 1}
	l.RecordLimit(e, 100)
	return l, e
}

// BenchmarkAcquire measures a permit from another instance over loopback, with the
// work of both instances.
func BenchmarkAcquire(b *testing.B) {
	granter, _ := newBenchLimiter("n0", nil, "")
	server := httptest.NewServer(peer.NewHandler(noPeer{}, nil, granter.Server(), nil, "secret", tally.NoopScope))
	defer server.Close()
	clients := peer.NewClients("secret", tally.NoopScope)
	l, e := newBenchLimiter("asking", clients.Permits, server.Listener.Addr().String())
	b.ReportAllocs()
	for b.Loop() {
		l.Acquire(context.Background(), e)
	}
}
