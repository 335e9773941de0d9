package fleetsim

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/fleet"
	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/store"
	"github.com/hibiscusstair/hibiscusstair/ticket"
)

func TestFleetsim(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "fleetsim")
}

const operatorToken = "operator-token"

// process is an instance whose fleet and ticket components communicate over real
// HTTP, as in package instance.
type process struct {
	peerpb.Peer    // the calls of other components are not implemented
	fleet          *fleet.Runner
	tickets        *ticket.Runner
	operatorServer *httptest.Server
	peerServer     *httptest.Server
	stop           func()
}

func (p *process) Exchange(ctx context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return p.fleet.Exchange(ctx, r)
}

func (p *process) Probe(ctx context.Context, r *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	return p.fleet.Probe(ctx, r)
}

func (p *process) FetchTickets(ctx context.Context, r *peerpb.FetchTicketsRequest) (*peerpb.FetchTicketsResponse, error) {
	return p.tickets.FetchTickets(ctx, r)
}

func (p *process) Offer(ctx context.Context, r *peerpb.OfferRequest) (*peerpb.OfferResponse, error) {
	return p.tickets.OfferHead(ctx, r)
}

func (p *process) Acknowledge(ctx context.Context, r *peerpb.AcknowledgeRequest) (*peerpb.AcknowledgeResponse, error) {
	return p.tickets.Acknowledge(ctx, r)
}

// startProcess starts an instance in the failure domain; the region is the first
// letter of the domain's name. busy returns the number of requests that the instance
// runs on an endpoint.
func startProcess(id string, half api.Half, domain string, s store.API, seeds []string, busy func(api.EndpointID) int) *process {
	const secret = "a secret of instances"
	p := &process{}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	clients := peer.NewClients(secret, tally.NoopScope)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	place := api.Place{Region: api.Region(domain[:1]), FailureDomain: api.FailureDomain(domain)}
	p.tickets, err = ticket.New(ticket.Options{
		Instance: api.InstanceID(id), Half: half, Place: place, Address: address, Store: s,
		Members:      func() []api.Member { return p.fleet.Members() },
		Incarnation:  func() uint64 { return p.fleet.Incarnation() },
		WatchesStore: func() bool { return p.fleet.WatchesStore() },
		Expel:        func(ctx context.Context, id api.InstanceID) error { return p.fleet.Expel(ctx, id) },
		Clients:      clients, RunningRequests: busy, OperatorTokenSHA256: httpapi.CredentialSHA256(operatorToken),
		Log: log, Scope: tally.NoopScope, Clock: bootclock.Now, Seed: 1,
	})
	Expect(err).NotTo(HaveOccurred())
	p.fleet, err = fleet.New(fleet.Options{
		Instance: api.InstanceID(id), Incarnation: uint64(time.Now().UnixMilli()), Half: half, Place: place,
		Address: address, SeedAddresses: seeds, Store: s, Clients: clients, Tickets: p.tickets, ExpelMode: "auto",
		Log: log, Scope: tally.NoopScope, Clock: bootclock.Now, Seed: 1,
	})
	Expect(err).NotTo(HaveOccurred())
	p.peerServer = httptest.NewUnstartedServer(peer.NewHandler(p, nil, nil, nil, secret, tally.NoopScope))
	p.peerServer.Listener.Close()
	p.peerServer.Listener = listener
	p.peerServer.Start()
	mux := http.NewServeMux()
	p.tickets.Register(mux)
	p.operatorServer = httptest.NewServer(mux)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = p.fleet.Run(ctx) }()
	go func() { _ = p.tickets.Run(ctx) }()
	p.stop = func() {
		cancel()
		p.peerServer.CloseClientConnections()
		p.peerServer.Close()
		p.operatorServer.Close()
		clients.Close()
	}
	return p
}

// call sends a request to the operator API and returns the status and the decoded
// response.
func (p *process) call(method, path string, body any) (int, map[string]any) {
	var reader io.Reader
	if body != nil {
		value, err := json.Marshal(body)
		Expect(err).NotTo(HaveOccurred())
		reader = bytes.NewReader(value)
	}
	request, err := http.NewRequest(method, p.operatorServer.URL+path, reader)
	Expect(err).NotTo(HaveOccurred())
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := http.DefaultClient.Do(request)
	Expect(err).NotTo(HaveOccurred())
	defer response.Body.Close()
	var decoded map[string]any
	Expect(json.NewDecoder(response.Body).Decode(&decoded)).To(Succeed())
	return response.StatusCode, decoded
}

// engine returns an engine endpoint. The port is derived from the ID, because two
// endpoints must not have the same address.
func engine(id string, half api.Half) api.Endpoint {
	port := 1000
	for _, b := range []byte(id) {
		port += int(b) * 7 % 97
	}
	return api.Endpoint{
		ID: api.EndpointID(id), Kind: api.KindEngine, Address: fmt.Sprintf("10.0.0.%d:%d", len(id), port),
		Place: api.Place{Region: "f", FailureDomain: "f1"}, Half: half,
		Models: []api.ModelRef{{Model: "m"}}, Slots: 4,
	}
}

var _ = Describe("three instances over HTTP", func() {
	It("apply the tickets of an operator, also after one of them has left, and refuse invalid ones", func() {
		s := newMemStore()
		idle := func(api.EndpointID) int { return 0 }
		a := startProcess("a", "north", "f1", s, nil, idle)
		defer a.stop()
		seeds := []string{a.peerServer.Listener.Addr().String()}
		b := startProcess("b", "north", "f2", s, seeds, idle)
		c := startProcess("c", "south", "k1", s, seeds, idle)
		defer c.stop()
		all := []*process{a, b, c}
		for _, p := range all {
			Eventually(p.fleet.CheckServing).WithTimeout(20 * time.Second).Should(Succeed())
			Eventually(func() int { return len(p.fleet.Members()) }).WithTimeout(20 * time.Second).Should(Equal(3))
		}
		status, response := a.call("PUT", "/v1/tickets/1", ticket.Ticket{Number: 1, Endpoints: []api.Endpoint{engine("e1", "north")}})
		Expect(status).To(BeElementOf(http.StatusOK, http.StatusAccepted), "%v", response)
		for _, p := range all {
			Eventually(func() uint64 { return p.tickets.Config().Ticket }).WithTimeout(20 * time.Second).Should(Equal(uint64(1)))
		}
		Expect(a.tickets.Config().MayDispatch("e1", "north")).To(BeTrue())
		Expect(c.tickets.Config().MayDispatch("e1", "south")).To(BeFalse())

		By("refusing an invalid ticket and one whose number is already used")
		status, response = b.call("PUT", "/v1/tickets/2", map[string]any{"number": 2, "remove_endpoints": []string{"x"}})
		Expect(status).To(Equal(http.StatusUnprocessableEntity), "%v", response)
		Expect(response["findings"]).To(HaveLen(1))
		status, response = b.call("PUT", "/v1/tickets/1", ticket.Ticket{Number: 1, Endpoints: []api.Endpoint{engine("e2", "north")}})
		Expect(status).To(Equal(http.StatusConflict), "%v", response)

		By("accepting the next ticket after an instance has left gracefully")
		b.fleet.Leave(context.Background())
		Expect(b.fleet.CheckServing()).To(MatchError(ContainSubstring("shutting_down")))
		b.stop()
		Eventually(func() (api.MemberState, error) { return stateOf(a, "b"), nil }).WithTimeout(20 * time.Second).Should(Equal(api.MemberLeft))
		status, response = a.call("PUT", "/v1/tickets/2", ticket.Ticket{Number: 2, Endpoints: []api.Endpoint{engine("e1", "south")}})
		Expect(status).To(BeElementOf(http.StatusOK, http.StatusAccepted), "%v", response)
		Eventually(func() uint64 { return c.tickets.Config().Ticket }).WithTimeout(20 * time.Second).Should(Equal(uint64(2)))
		for _, path := range []string{"/v1/tickets", "/v1/tickets/1", "/v1/diff?from=1&to=2", "/v1/status", "/v1/instances"} {
			status, response = a.call("GET", path, nil)
			Expect(status).To(Equal(http.StatusOK), "%s %v", path, response)
		}
	})
})

var _ = Describe("an instance that stops without notice", func() {
	It("blocks the acceptance of tickets until it is expelled, and is named in the status", func() {
		s := newMemStore()
		idle := func(api.EndpointID) int { return 0 }
		a := startProcess("a", "north", "f1", s, nil, idle)
		defer a.stop()
		b := startProcess("b", "north", "f2", s, []string{a.peerServer.Listener.Addr().String()}, idle)
		for _, p := range []*process{a, b} {
			Eventually(p.fleet.CheckServing).WithTimeout(20 * time.Second).Should(Succeed())
			Eventually(func() int { return len(p.fleet.Members()) }).WithTimeout(20 * time.Second).Should(Equal(2))
		}
		b.stop()
		status, response := a.call("PUT", "/v1/tickets/1", ticket.Ticket{Number: 1, Endpoints: []api.Endpoint{engine("e1", "north")}})
		Expect(status).To(Equal(http.StatusAccepted), "%v", response)
		_, response = a.call("GET", "/v1/status", nil)
		Expect(fmt.Sprint(response["pending"])).To(And(ContainSubstring("instance:b"), ContainSubstring("has not acknowledged")))
		Eventually(func() uint64 { return a.tickets.Config().Ticket }).WithTimeout(40 * time.Second).Should(Equal(uint64(1)))
		Expect(stateOf(a, "b")).To(Equal(api.MemberExpelled))
	})
})

func stateOf(p *process, id api.InstanceID) api.MemberState {
	for _, m := range p.fleet.Members() {
		if m.ID == id {
			return m.State
		}
	}
	return api.MemberUnknown
}
