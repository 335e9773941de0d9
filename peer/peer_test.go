package peer_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/hibiscusstair/hibiscusstair/fleetsim"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

func TestPeer(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "peer")
}

const secret = "a secret of instances"

// server implements Exchange and Probe; other calls panic.
type server struct {
	peerpb.Peer
	calls atomic.Int64
}

func (s *server) Exchange(context.Context, *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	s.calls.Add(1)
	return &peerpb.ExchangeResponse{HeadVersion: 7}, nil
}

func (s *server) Probe(context.Context, *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	return &peerpb.ProbeResponse{Instance: "a"}, nil
}

var _ = Describe("messages between instances", func() {
	var (
		service     *server
		testServer  *httptest.Server
		connections atomic.Int64
		ctx         = context.Background()
	)
	BeforeEach(func() {
		service = &server{}
		connections.Store(0)
		testServer = httptest.NewUnstartedServer(peer.NewHandler(service, nil, nil, nil, secret, tally.NoopScope))
		testServer.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateNew {
				connections.Add(1)
			}
		}
		testServer.Start()
		DeferCleanup(testServer.Close)
	})
	address := func() string { return testServer.Listener.Addr().String() }

	It("are refused if they are signed with another secret", func() {
		clients := peer.NewClients("another secret", tally.NoopScope)
		defer clients.Close()
		_, err := clients.Client(address()).Exchange(ctx, &peerpb.ExchangeRequest{})
		Expect(err).To(HaveOccurred())
		Expect(service.calls.Load()).To(BeZero())
	})

	It("are refused without a signature", func() {
		response, err := http.Post(testServer.URL+peer.PathPrefix+"/hibiscusstair.peer.Peer/Exchange", "application/protobuf", strings.NewReader(""))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusUnauthorized))
		Expect(service.calls.Load()).To(BeZero())
	})

	It("are refused as responses that are signed with another secret", func() {
		untrusted := httptest.NewServer(peer.NewHandler(service, nil, nil, nil, "another secret", tally.NoopScope))
		defer untrusted.Close()
		clients := peer.NewClients(secret, tally.NoopScope)
		defer clients.Close()
		_, err := clients.Client(untrusted.Listener.Addr().String()).Exchange(ctx, &peerpb.ExchangeRequest{})
		Expect(err).To(MatchError(ContainSubstring("signature")))
	})

	It("share pooled connections, except that each probe uses a new one", func() {
		clients := peer.NewClients(secret, tally.NoopScope)
		defer clients.Close()
		client := clients.Client(address())
		for range 3 {
			_, err := client.Exchange(ctx, &peerpb.ExchangeRequest{})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(connections.Load()).To(BeEquivalentTo(1))
		for range 2 {
			_, err := client.Probe(ctx, &peerpb.ProbeRequest{})
			Expect(err).NotTo(HaveOccurred())
		}
		Expect(connections.Load()).To(BeEquivalentTo(3))
	})

	It("need at most the header bytes that the simulation counts for an exchange", func() {
		scope := tally.NewTestScope("", nil)
		clients := peer.NewClients(secret, scope)
		defer clients.Close()
		request := &peerpb.ExchangeRequest{From: "a", Deltas: &peerpb.Deltas{}}
		response, err := clients.Client(address()).Exchange(ctx, request)
		Expect(err).NotTo(HaveOccurred())
		countedBytes := int64(0)
		for _, counter := range scope.Snapshot().Counters() {
			countedBytes += counter.Value()
		}
		overhead := countedBytes - int64(proto.Size(request)+proto.Size(response))
		GinkgoWriter.Println("HTTP overhead of an exchange in bytes:", overhead)
		Expect(overhead).To(BeNumerically(">", 100))
		Expect(overhead).To(BeNumerically("<=", fleetsim.ExchangeOverheadBytes))
	})
})
