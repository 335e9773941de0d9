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

// fakePeers connects runners by direct calls.
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

var _ = Describe("one of two instances", func() {
	var engines []*fakeEngine
	var origin, other *testInstance
	var stopped bool
	placeIn := func(domain string) api.Place {
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
		optionsOf := func(id api.InstanceID, domain string) func(*Options) {
			return func(o *Options) {
				o.Instance, o.Place = id, placeIn(domain)
				if withPeers {
					o.Peers = peers
				}
			}
		}
		origin = newTestInstance(optionsOf("i1", "d1"), engines...)
		other = newTestInstance(optionsOf("i2", "d2"), engines...)
		peers.runners["1"], peers.runners["2"] = origin.runner, other.runner
		peers.live = []PeerInfo{{ID: "i1", Address: "1", Place: placeIn("d1")}, {ID: "i2", Address: "2", Place: placeIn("d2")}}
		DeferCleanup(func() {
			if !stopped {
				origin.stop()
			}
			other.stop()
			for _, e := range engines {
				e.stop()
			}
		})
	}
	headers := func(id string) map[string]string {
		h := map[string]string{"Idempotency-Key": "k1"}
		if id != "" {
			h["Last-Event-ID"] = id
		}
		return h
	}
	// readPartAndStopOrigin reads some tokens from the first instance and stops it.
	readPartAndStopOrigin := func() *callerResponse {
		first := origin.sendAndRead(streamBody, headers(""), 10)
		origin.stop()
		stopped = true
		return first
	}

	// Guards against recomputing a response that an engine is still generating.
	It("reattaches to the engine's stream", func() {
		start(false)
		first := readPartAndStopOrigin()
		resumed := other.send(streamBody, headers(first.ids[9]))
		Expect(resumed.tokens).To(Equal(expectedTokens("p", 7, 10, 40)))
		Expect(engines[0].resumeCount).To(Equal(1))
		Expect(engines[1].openRequests).To(BeEmpty())
	})

	// Guards against recomputing tokens that the caller has sent.
	It("continues from the caller's prefix when the engine has dropped the stream", func() {
		start(false)
		first := readPartAndStopOrigin()
		engines[0].dropStreamsAndRefuse()
		body := `{"model":"m","prompt":"p","max_tokens":40,"seed":7,"stream":true,"prefix_tokens":` + jsonText(first.tokens[:10]) + `}`
		resumed := other.send(body, headers(first.ids[9]))
		Expect(resumed.tokens).To(Equal(expectedTokens("p", 7, 10, 40)))
		Expect(engines[1].openRequests[0].PrefixTokens).To(Equal(first.tokens[:10]))
	})

	// Guards against continuing after tokens that the caller did not receive.
	It("refuses a prefix that differs from what was delivered", func() {
		start(false)
		first := readPartAndStopOrigin()
		body := `{"model":"m","prompt":"p","max_tokens":40,"seed":7,"stream":true,"prefix_tokens":` + jsonText(make([]uint32, 10)) + `}`
		resumed := other.send(body, headers(first.ids[9]))
		Expect(resumed.err.Reason).To(Equal(reason.PrefixMismatch))
	})

	// Guards against losing the prefix when both the instance and the engine stop.
	It("continues from the peer's checkpoint", func() {
		for _, e := range engines {
			e.tokenInterval = 30 * time.Millisecond
		}
		start(true)
		first := origin.sendAndRead(streamBody, headers(""), 20)
		Eventually(func() int {
			stored, _ := other.runner.StoredPrefix(other.generationOf(first.ids[0]))
			return len(stored)
		}).Should(BeNumerically(">=", 20))
		origin.stop()
		stopped = true
		engines[0].dropStreamsAndRefuse()
		resumed := other.send(streamBody, headers(first.ids[19]))
		Expect(resumed.tokens).To(Equal(expectedTokens("p", 7, 20, 40)))
		Expect(engines[1].openRequests[0].PrefixTokens).To(Equal(first.tokens[:20]))
	})

	// Guards against mixing the tokens of two generations after a regeneration.
	It("regenerates the response and verifies its hash when no prefix is stored", func() {
		start(false)
		first := readPartAndStopOrigin()
		engines[0].dropStreamsAndRefuse()
		resumed := other.send(streamBody, headers(first.ids[9]))
		Expect(resumed.tokens).To(Equal(expectedTokens("p", 7, 10, 40)))
		Expect(engines[1].openRequests[0].PrefixTokens).To(BeEmpty())
	})

	// Guards against delivering regenerated tokens that do not continue those that
	// the caller has.
	It("ends the response with an error when the regenerated tokens differ", func() {
		engines[1].tokenSalt = "other"
		start(false)
		first := readPartAndStopOrigin()
		engines[0].dropStreamsAndRefuse()
		resumed := other.send(streamBody, headers(first.ids[9]))
		Expect(resumed.tokens).To(BeEmpty())
		Expect(resumed.err.Reason).To(Equal(reason.PrefixMismatch))
		Expect(resumed.err.Run).To(Equal(reason.RunYes))
	})

	// Guards against two connections that both receive the tokens.
	It("ends its connection when another instance takes over", func() {
		engines[0].tokenInterval = 20 * time.Millisecond
		start(true)
		responses := make(chan *callerResponse, 1)
		go func() { responses <- origin.send(streamBody, headers("")) }()
		Eventually(origin.lastPosition).Should(BeNumerically(">", 3))
		lastEventID := origin.lastEventID()
		resumed := other.send(streamBody, headers(lastEventID.String()))
		first := <-responses
		Expect(resumed.tokens).To(Equal(expectedTokens("p", 7, lastEventID.Position+1, 40)))
		Expect(first.err.Reason).To(Equal(reason.Superseded))
	})

	// Guards against resuming the response to another body.
	It("refuses an event ID of another request", func() {
		start(false)
		first := origin.send(streamBody, headers(""))
		resumed := other.send(`{"model":"m","prompt":"q","max_tokens":40,"seed":7,"stream":true}`, headers(first.ids[3]))
		Expect(resumed.status).To(Equal(http.StatusBadRequest))
		Expect(resumed.err.Reason).To(Equal(reason.EventIDInvalid))
		Expect(resumed.err.Run).To(Equal(reason.RunNo))
	})

	// Guards against a second generation for a caller that connects twice.
	It("moves the stream to a newer connection of the caller", func() {
		start(false)
		older := make(chan *callerResponse, 1)
		go func() { older <- origin.send(streamBody, headers("")) }()
		Eventually(origin.lastPosition).Should(BeNumerically(">", 3))
		newer := origin.send(streamBody, headers(""))
		Expect(newer.tokens).To(Equal(expectedTokens("p", 7, 0, 40)))
		Expect((<-older).err.Reason).To(Equal(reason.Superseded))
		Expect(engines[0].openRequests).To(HaveLen(1))
	})

	// Guards against a shutdown that interrupts responses or starts new ones.
	It("completes responses in progress and refuses new requests while it drains", func() {
		start(false)
		running := make(chan *callerResponse, 1)
		go func() { running <- origin.send(streamBody, nil) }()
		Eventually(func() int { return origin.runner.activeRequestCount() }).Should(Equal(1))
		Expect(origin.runner.Drain(context.Background())).To(Succeed())
		Expect((<-running).receivedDone).To(BeTrue())
		refused := origin.send(streamBody, nil)
		Expect(refused.err.Reason).To(Equal(reason.ShuttingDown))
		Expect(refused.err.Run).To(Equal(reason.RunNo))
		Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
	})
})
