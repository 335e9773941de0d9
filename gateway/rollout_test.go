package gateway

import (
	"context"
	"errors"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/rollout"
	"github.com/hibiscusstair/hibiscusstair/telemetry"
)

// oneOrder is a store with a running rollout of a service.
type oneOrder struct{ Store }

func (oneOrder) SetAddress(netip.AddrPort) {}

func (oneOrder) ListRollouts(context.Context) ([]rollout.Order, uint64, error) {
	return []rollout.Order{{Service: "llm", To: "v2", Duration: time.Minute, Revision: 3}}, 3, nil
}

func (oneOrder) WatchRollouts(ctx context.Context, after uint64, wait time.Duration) ([]rollout.Order, uint64, error) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
	return nil, after, nil
}

func (oneOrder) WriteStatus(context.Context, string, uint64, rollout.Status) (rollout.Order, error) {
	return rollout.Order{}, errors.New("not reachable")
}

// newTestGateway returns a gateway that is not running, with endpoints of two versions.
func newTestGateway(t *testing.T, enabled bool) *Gateway {
	metrics := telemetry.NewMetrics()
	t.Cleanup(func() { _ = metrics.Close() })
	g, err := New(Options{
		Settings: Settings{
			Instance: "i", Place: api.Place{Region: "r", FailureDomain: "d"}, PeerSecret: "secret",
			PeerListen: netip.MustParseAddrPort("127.0.0.1:1"), Rollouts: RolloutSettings{Enabled: enabled},
		},
		Store: oneOrder{}, RolloutStore: oneOrder{}, Log: slog.New(slog.DiscardHandler), Metrics: metrics,
	})
	if err != nil {
		t.Fatal(err)
	}
	list := registry.EndpointsListed{}
	for i, version := range []string{"v1", "v2"} {
		list.Endpoints = append(list.Endpoints, registry.Endpoint{
			ID: api.EndpointID(version), Incarnation: int64(1 + i), Service: "llm", Version: version, Address: "10.0.0." + version[1:] + ":1", Domain: "d", Slots: 4,
		})
	}
	g.registry.Apply(list)
	return g
}

// Guards against parts of rollouts that act although the deployment does not ask for them.
func TestRolloutsThatAreOffRestrictNothing(t *testing.T) {
	g := newTestGateway(t, false)
	if g.rollouts != nil || g.rolloutSelector() != nil {
		t.Error("rollouts are on")
	}
	server := httptest.NewServer(g.peerHandler())
	defer server.Close()
	_, err := g.peerClients.Rollouts(server.Listener.Addr().String()).Report(t.Context(), &peerpb.RolloutReport{Instance: "j", Service: "llm"})
	if err == nil {
		t.Error("a report was accepted")
	}
	g.recordCrash(registry.Endpoint{ID: "v1"})
}

// Guards against rollouts that are not connected to the registry, the peer listener or the
// store.
func TestRolloutsThatAreOnCoordinateReports(t *testing.T) {
	g := newTestGateway(t, true)
	if allowed := g.rolloutSelector().Allowed("llm", "x"); len(allowed) != 1 || allowed[0] != "v1" {
		t.Errorf("without a grant, %v is allowed", allowed)
	}
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); _ = g.rollouts.Run(ctx) }()
	defer func() { stop(); <-done }()
	server := httptest.NewServer(g.peerHandler())
	defer server.Close()
	client := g.peerClients.Rollouts(server.Listener.Addr().String())
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		grant, err := client.Report(t.Context(), &peerpb.RolloutReport{Instance: "j", Incarnation: 1, Service: "llm"})
		if err != nil {
			t.Fatal(err)
		}
		if grant.GetTo() == "v2" && grant.GetState() == string(rollout.StateRunning) && grant.GetShare() > 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the last grant is %v", grant)
		}
	}
	if _, err := client.Report(t.Context(), &peerpb.RolloutReport{Service: "llm"}); err == nil {
		t.Error("a report without an instance was accepted")
	}
	unsigned, err := http.Post(server.URL+peer.PathPrefix+"/hibiscusstair.peer.Rollouts/Report", "application/protobuf", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unsigned.Body.Close() }()
	if unsigned.StatusCode != http.StatusUnauthorized {
		t.Errorf("a report without a signature got the status %d", unsigned.StatusCode)
	}
}

func TestBoundsOfRolloutsHaveDefaults(t *testing.T) {
	if got := (RolloutSettings{}).bounds(); got.ExposeShare != 0.1 || got.ExposeSlack != 50 || got.RollbackTimeout != 5*time.Second {
		t.Errorf("the bounds are %+v", got)
	}
	set := RolloutSettings{ExposeShare: 0.05, RollbackTimeout: 3 * time.Second}
	if got := set.bounds(); got.ExposeShare != 0.05 || got.ExposeSlack != 0 || got.RollbackTimeout != 3*time.Second {
		t.Errorf("the bounds are %+v", got)
	}
}
