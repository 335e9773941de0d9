package generation

import (
	"context"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// fakePeers connects runners directly.
type fakePeers struct {
	live    []PeerInfo
	runners map[string]*Runner
}

func (p *fakePeers) Live() []PeerInfo { return p.live }

func (p *fakePeers) Client(address string) peerpb.Peer { return fakePeer{runner: p.runners[address]} }

type fakePeer struct {
	peerpb.Peer
	runner *Runner
}

func (p fakePeer) Checkpoint(_ context.Context, r *peerpb.CheckpointRequest) (*peerpb.CheckpointResponse, error) {
	p.runner.StoreCheckpoint(r)
	return &peerpb.CheckpointResponse{}, nil
}

func (p fakePeer) FetchPrefix(_ context.Context, r *peerpb.FetchPrefixRequest) (*peerpb.FetchPrefixResponse, error) {
	tokens, found := p.runner.StoredPrefix(r.Generation)
	return &peerpb.FetchPrefixResponse{Found: found, Tokens: tokens}, nil
}

func (p fakePeer) Takeover(_ context.Context, r *peerpb.TakeoverRequest) (*peerpb.TakeoverResponse, error) {
	return &peerpb.TakeoverResponse{Ended: p.runner.Takeover(r.Generation, r.Attempt)}, nil
}

var _ = Describe("resume on another instance", func() {
	var engines []*fakeEngine
	var one, two *testInstance
	var stopped bool
	place := func(domain string) api.Place {
		return api.Place{Region: "r1", FailureDomain: api.FailureDomain(domain)}
	}
	BeforeEach(func() {
		stopped = false
		engines = []*fakeEngine{newFakeEngine(), newFakeEngine()}
		for _, e := range engines {
			e.tokenInterval = 5 * time.Millisecond
		}
	})
	start := func(withPeers bool) {
		peers := &fakePeers{runners: make(map[string]*Runner)}
		options := func(id api.InstanceID, domain string) func(*Options) {
			return func(o *Options) {
				o.Instance, o.Place = id, place(domain)
				if withPeers {
					o.Peers = peers
				}
			}
		}
		one = newTestInstance(options("i1", "d1"), engines...)
		two = newTestInstance(options("i2", "d2"), engines...)
		peers.runners["1"], peers.runners["2"] = one.runner, two.runner
		peers.live = []PeerInfo{{ID: "i1", Address: "1", Place: place("d1")}, {ID: "i2", Address: "2", Place: place("d2")}}
		DeferCleanup(func() {
			if !stopped {
				one.stop()
			}
			two.stop()
			for _, e := range engines {
				e.stop()
			}
		})
	}
	key := func(id string) map[string]string {
		h := map[string]string{"Idempotency-Key": "k1"}
		if id != "" {
			h["Last-Event-ID"] = id
		}
		return h
	}
	// half reads some tokens from the first instance, which then dies.
	half := func() *callerResponse {
		a := one.sendAndRead(streamBody, key(""), 10)
		one.stop()
		stopped = true
		return a
	}

	// Guards against recomputing an answer that an engine still generates.
	It("reattaches to the engine's stream", func() {
		start(false)
		a := half()
		b := two.send(streamBody, key(a.ids[9]))
		Expect(b.tokens).To(Equal(expectedTokens("p", 7, 10, 40)))
		Expect(engines[0].resumeCount).To(Equal(1))
		Expect(engines[1].openRequests).To(BeEmpty())
	})

	// Guards against recomputing what the caller can show.
	It("continues from the caller's prefix when the engine is gone too", func() {
		start(false)
		a := half()
		engines[0].dropStreams()
		body := `{"model":"m","prompt":"p","max_tokens":40,"seed":7,"stream":true,"prefix_tokens":` + jsonText(a.tokens[:10]) + `}`
		b := two.send(body, key(a.ids[9]))
		Expect(b.tokens).To(Equal(expectedTokens("p", 7, 10, 40)))
		Expect(engines[1].openRequests[0].PrefixTokens).To(Equal(a.tokens[:10]))
	})

	It("refuses a prefix that differs from what was delivered", func() {
		start(false)
		a := half()
		body := `{"model":"m","prompt":"p","max_tokens":40,"seed":7,"stream":true,"prefix_tokens":` + jsonText(make([]uint32, 10)) + `}`
		b := two.send(body, key(a.ids[9]))
		Expect(b.err.Reason).To(Equal(reason.PrefixMismatch))
	})

	// Guards against losing the prefix with the instance and the engine.
	It("continues from the peer's checkpoint", func() {
		for _, e := range engines {
			e.tokenInterval = 30 * time.Millisecond
		}
		start(true)
		a := one.sendAndRead(streamBody, key(""), 20)
		Eventually(func() int {
			held, _ := two.runner.StoredPrefix(two.generationOf(a.ids[0]))
			return len(held)
		}).Should(BeNumerically(">=", 20))
		one.stop()
		stopped = true
		engines[0].dropStreams()
		b := two.send(streamBody, key(a.ids[19]))
		Expect(b.tokens).To(Equal(expectedTokens("p", 7, 20, 40)))
		Expect(engines[1].openRequests[0].PrefixTokens).To(Equal(a.tokens[:20]))
	})

	// Guards against mixing two generations after a regeneration.
	It("regenerates from the start and checks the hash", func() {
		start(false)
		a := half()
		engines[0].dropStreams()
		b := two.send(streamBody, key(a.ids[9]))
		Expect(b.tokens).To(Equal(expectedTokens("p", 7, 10, 40)))
		Expect(engines[1].openRequests[0].PrefixTokens).To(BeEmpty())
	})

	It("ends with an error when the regenerated text differs", func() {
		engines[1].tokenSalt = "other"
		start(false)
		a := half()
		engines[0].dropStreams()
		b := two.send(streamBody, key(a.ids[9]))
		Expect(b.tokens).To(BeEmpty())
		Expect(b.err.Reason).To(Equal(reason.PrefixMismatch))
		Expect(b.err.Run).To(Equal(reason.RunYes))
	})

	// Guards against two connections that both get tokens.
	It("ends the connection at the origin when another instance takes over", func() {
		engines[0].tokenInterval = 20 * time.Millisecond
		start(true)
		ids := make(chan *callerResponse, 1)
		go func() { ids <- one.send(streamBody, key("")) }()
		Eventually(one.lastPosition).Should(BeNumerically(">", 3))
		probe := one.lastEventID()
		b := two.send(streamBody, key(probe.String()))
		a := <-ids
		Expect(b.tokens).To(Equal(expectedTokens("p", 7, probe.Position+1, 40)))
		Expect(a.err.Reason).To(Equal(reason.Superseded))
	})

	// Guards against resuming the answer of another body.
	It("refuses an event id of another request", func() {
		start(false)
		a := one.send(streamBody, key(""))
		b := two.send(`{"model":"m","prompt":"q","max_tokens":40,"seed":7,"stream":true}`, key(a.ids[3]))
		Expect(b.status).To(Equal(http.StatusBadRequest))
		Expect(b.err.Reason).To(Equal(reason.EventIDInvalid))
		Expect(b.err.Run).To(Equal(reason.RunNo))
	})

	// Guards against a second generation for a request that is connected twice.
	It("gives the stream to the newer connection on one instance", func() {
		start(false)
		older := make(chan *callerResponse, 1)
		go func() { older <- one.send(streamBody, key("")) }()
		Eventually(one.lastPosition).Should(BeNumerically(">", 3))
		newer := one.send(streamBody, key(""))
		Expect(newer.tokens).To(Equal(expectedTokens("p", 7, 0, 40)))
		Expect((<-older).err.Reason).To(Equal(reason.Superseded))
		Expect(engines[0].openRequests).To(HaveLen(1))
	})

	// Guards against a shutdown that interrupts answers or takes new ones.
	It("drains", func() {
		start(false)
		running := make(chan *callerResponse, 1)
		go func() { running <- one.send(streamBody, nil) }()
		Eventually(func() int { return one.runner.activeRequestCount() }).Should(Equal(1))
		Expect(one.runner.Drain(context.Background())).To(Succeed())
		Expect((<-running).done).To(BeTrue())
		refused := one.send(streamBody, nil)
		Expect(refused.err.Reason).To(Equal(reason.ShuttingDown))
		Expect(refused.err.Run).To(Equal(reason.RunNo))
		Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
	})
})
