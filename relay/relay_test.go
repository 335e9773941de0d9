package relay_test

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/relay"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/storesync"
)

// at returns a revision of a store that names no era.
func at(number uint64) storesync.Revision { return storesync.Revision{Number: number} }

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

var errDown = errors.New("the store is down")

// fakeStore returns fixed values, or fails.
type fakeStore struct {
	down  atomic.Bool
	calls atomic.Int32
	wait  time.Duration // of the last watch
}

func (s *fakeStore) result() error {
	s.calls.Add(1)
	if s.down.Load() {
		return errDown
	}
	return nil
}

func (s *fakeStore) ReadTable(context.Context) (storesync.TableRead, error) {
	return storesync.TableRead{Table: table(9), Revision: at(50)}, s.result()
}

func (s *fakeStore) WatchTable(_ context.Context, after storesync.Revision, wait time.Duration) (storesync.TableRead, error) {
	s.wait = wait
	return storesync.TableRead{Revision: after}, s.result()
}

func (s *fakeStore) ListEndpoints(context.Context) (storesync.EndpointList, error) {
	return storesync.EndpointList{Endpoints: []registry.Endpoint{endpoint("direct")}, Revision: at(50)}, s.result()
}

func (s *fakeStore) WatchEndpoints(_ context.Context, after storesync.Revision, wait time.Duration) (storesync.EndpointChanges, error) {
	s.wait = wait
	return storesync.EndpointChanges{Revision: after}, s.result()
}

func table(version uint64) *routing.Table {
	t := routing.New(version, nil, nil, nil, routing.Limits{})
	t.Document = []byte{byte(version)}
	return t
}

// largeTable returns a configuration whose document is as long as one of 2,000
// routes.
func largeTable(version uint64) *routing.Table {
	t := table(version)
	t.Document = append(t.Document, bytes.Repeat([]byte(`{"name":"r","service":"s"},`), 16<<10)...)
	return t
}

// uncompressedRelay is an instance that knows nothing of compressed documents.
type uncompressedRelay struct{ peerpb.Relay }

func (r uncompressedRelay) WatchTable(ctx context.Context, request *peerpb.WatchRequest) (*peerpb.TableAnswer, error) {
	return r.Relay.WatchTable(ctx, &peerpb.WatchRequest{After: request.After, WaitMs: request.WaitMs, AnyAge: request.AnyAge})
}

// gzipRelay returns a fixed compressed document.
type gzipRelay struct {
	peerpb.Relay
	data []byte
}

func (r gzipRelay) WatchTable(context.Context, *peerpb.WatchRequest) (*peerpb.TableAnswer, error) {
	return &peerpb.TableAnswer{Revision: 20, GzipDocument: r.data}, nil
}

func gzipped(document []byte) []byte {
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	_, _ = w.Write(document)
	Expect(w.Close()).To(Succeed())
	return out.Bytes()
}

func decode(document []byte) (*routing.Table, error) { return table(uint64(document[0])), nil }

func endpoint(id string) registry.Endpoint {
	return registry.Endpoint{
		ID: api.EndpointID(id), Incarnation: 7, Service: "s", Address: "10.0.0.1:1", Domain: "d", Slots: 4,
		Draining: true, ColdRemaining: time.Second, Version: "v2",
	}
}

// peerNode is another instance with its cache.
type peerNode struct {
	cache            *relay.Cache
	tableContactLost atomic.Bool // contact about the configuration
	age              time.Duration
	member           api.Member

	endpointContactLost atomic.Bool
	throughHelper       atomic.Bool
}

// fakeContact is the store contact of a node about one kind of object.
type fakeContact struct {
	n    *peerNode
	lost *atomic.Bool
}

func (c fakeContact) Age() time.Duration  { return c.n.age }
func (c fakeContact) Lost() bool          { return c.lost.Load() }
func (c fakeContact) ThroughHelper() bool { return c.n.throughHelper.Load() }

func newNode(name, domain string) *peerNode {
	n := &peerNode{cache: relay.NewCache(tally.NoopScope)}
	n.cache.SetContacts(fakeContact{n, &n.tableContactLost}, fakeContact{n, &n.endpointContactLost})
	server := httptest.NewServer(peerpb.NewRelayServer(n.cache))
	DeferCleanup(server.Close)
	n.member = api.Member{
		ID: api.InstanceID(name), Address: server.Listener.Addr().String(), State: api.MemberAlive,
		Place: api.Place{FailureDomain: api.FailureDomain(domain)},
	}
	return n
}

func client(address string) peerpb.Relay {
	return peerpb.NewRelayProtobufClient("http://"+address, &http.Client{})
}

// inContact is the time until an instance has to read the store itself.
func inContact() time.Duration { return time.Hour }
