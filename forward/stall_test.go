package forward_test

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/forward"
	"github.com/hibiscusstair/hibiscusstair/loadprobe"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/routing"
)

// delayedReport is an engine client whose answer to HasRequest comes after the
// engine was released and sent its first event.
type delayedReport struct{ release func() }

func (delayedReport) FetchLoad(context.Context, string) (balance.Load, error) {
	return balance.Load{}, nil
}

func (c delayedReport) HasRequest(context.Context, string, string) (bool, error) {
	c.release()
	time.Sleep(30 * time.Millisecond)
	return false, nil
}

// listedRequest is an engine client of engines that list each request and report a
// number of prompts.
type listedRequest struct{ prompts int }

func (c listedRequest) FetchLoad(context.Context, string) (balance.Load, error) {
	return balance.Load{Running: c.prompts, Prefilling: c.prompts}, nil
}

func (listedRequest) HasRequest(context.Context, string, string) (bool, error) { return true, nil }

var _ = Describe("A stream whose engine lists it and sends no first event", func() {
	// start starts two engines, of which the first to receive a request sends its first
	// event after the delay. The target for it is 1 s.
	start := func(prompts int, delay time.Duration) *fixture {
		synced := make(chan struct{})
		close(synced)
		f := newFixtureWithOptions(synced, func(f *fixture, o *forward.Options) {
			o.RetryBudget = forward.NewRetryBudget(forward.RetryBudgetOptions{Baseline: 100, Window: 10 * time.Second})
			o.LoadProber = loadprobe.New(loadprobe.Options{
				Client: listedRequest{prompts}, Balance: f.balance, Clock: bootclock.Now,
				Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
			})
		})
		f.applyTable(nil)
		var asked atomic.Bool
		for _, name := range []string{"a", "b"} {
			f.startEndpoint(name, func(rw http.ResponseWriter, r *http.Request) {
				if asked.CompareAndSwap(false, true) {
					select {
					case <-time.After(delay):
					case <-r.Context().Done():
						return
					}
				}
				streamEvents(3, endStream)(rw, r)
			})
		}
		return f
	}

	// Guards against a request that hangs in an engine and is waited for until the
	// caller's deadline.
	It("continues elsewhere if the engine has no other prompt", func() {
		f := start(1, time.Hour)
		began := time.Now()
		_, body, _ := f.get("/stream/x")
		Expect(body).To(Equal(streamText(3)))
		Expect(f.received()).To(HaveLen(2))
		Expect(time.Since(began)).To(BeNumerically("<", 2500*time.Millisecond))
	})

	// Guards against a second prefill because of an engine that is only busy.
	It("waits while the engine has other prompts", func() {
		f := start(3, 2*time.Second)
		_, body, _ := f.get("/stream/x")
		Expect(body).To(Equal(streamText(3)))
		Expect(f.received()).To(HaveLen(1))
	})
})

var _ = Describe("A stream whose engine pauses", func() {
	const (
		length = 30
		// stallPause exceeds the failover delay without a backup, 500 ms.
		stallPause = 800 * time.Millisecond
		// firstEventPause exceeds the failover delay before the first event, 1.3 s.
		firstEventPause = 1600 * time.Millisecond
	)

	// stalledEngine describes the engine that receives the request first.
	type stalledEngine struct {
		events  int
		pause   time.Duration
		refuses bool // accepts no connections during the pause
	}
	midStream := stalledEngine{events: 10, pause: stallPause}
	midStreamRefusing := stalledEngine{events: 10, pause: stallPause, refuses: true}
	beforeFirstEvent := stalledEngine{pause: firstEventPause}
	beforeFirstEventRefusing := stalledEngine{pause: firstEventPause, refuses: true}

	// startEndpoints starts endpoints of which the first to receive a request
	// stalls, and the others serve complete streams.
	startEndpoints := func(f *fixture, stalled stalledEngine, names ...string) {
		var asked atomic.Bool
		for _, name := range names {
			f.startEndpoint(name, func(rw http.ResponseWriter, r *http.Request) {
				if !asked.CompareAndSwap(false, true) {
					streamEvents(length, endStream)(rw, r)
					return
				}
				streamEvents(stalled.events, func(rw http.ResponseWriter, r *http.Request) {
					if stalled.refuses {
						f.refuseConnections(name)
					}
					select {
					case <-time.After(stalled.pause):
					case <-r.Context().Done():
					}
					_, _ = rw.Write([]byte(streamText(length)[len(streamText(stalled.events)):]))
				})(rw, r)
			})
		}
	}

	attemptsUsedUp := func(stalled stalledEngine) *fixture {
		f := newFixture()
		f.applyTable(func(r *routing.Route) { r.MaxAttempts = 1 })
		startEndpoints(f, stalled, "a", "b")
		return f
	}
	budgetUsedUp := func(stalled stalledEngine) *fixture {
		synced := make(chan struct{})
		close(synced)
		f := newFixtureWithBudget(synced, forward.RetryBudgetOptions{Window: 10 * time.Second})
		f.applyTable(nil)
		startEndpoints(f, stalled, "a", "b")
		return f
	}
	noOtherEngine := func(stalled stalledEngine) *fixture {
		f := newFixture()
		f.applyTable(nil)
		startEndpoints(f, stalled, "a")
		return f
	}
	otherEngineFull := func(stalled stalledEngine) *fixture {
		f := noOtherEngine(stalled)
		full := f.startEndpoint("full", streamEvents(length, endStream))
		full.Slots = 0
		f.balance.Apply(registry.Change{Kind: registry.Updated, Endpoint: full})
		return f
	}

	// Guards against aborting the response of a sound engine that no other
	// engine may replace.
	DescribeTable("is completed by the engine if it may not continue elsewhere",
		func(limit func(stalledEngine) *fixture, stalled stalledEngine) {
			f := limit(stalled)
			code, body, _ := f.get("/stream/x")
			Expect(code).To(Equal(http.StatusOK))
			Expect(body).To(Equal(streamText(length)))
			Expect(f.received()).To(HaveLen(1))
		},
		Entry("because its attempts are used up", attemptsUsedUp, midStream),
		Entry("because the retry budget is used up", budgetUsedUp, midStream),
		Entry("because there is no other engine", noOtherEngine, midStream),
		Entry("because the other engine is full", otherEngineFull, midStream),
		Entry("because its attempts are used up, while new connections fail", attemptsUsedUp, midStreamRefusing),
		Entry("because the retry budget is used up, while new connections fail", budgetUsedUp, midStreamRefusing),
		Entry("because there is no other engine, while new connections fail", noOtherEngine, midStreamRefusing),
		Entry("because the other engine is full, while new connections fail", otherEngineFull, midStreamRefusing),
		Entry("because its attempts are used up before its first event", attemptsUsedUp, beforeFirstEvent),
		Entry("because the retry budget is used up before its first event", budgetUsedUp, beforeFirstEvent),
		Entry("because there is no other engine before its first event", noOtherEngine, beforeFirstEvent),
		Entry("because its attempts are used up before its first event, while new connections fail", attemptsUsedUp, beforeFirstEventRefusing),
		Entry("because there is no other engine before its first event, while new connections fail", noOtherEngine, beforeFirstEventRefusing),
	)

	// Guards against keeping a hung engine after another one becomes available.
	It("continues elsewhere once another engine has capacity", func() {
		f := noOtherEngine(stalledEngine{events: 10, pause: time.Hour})
		time.AfterFunc(stallPause, func() { f.startEndpoint("b", streamEvents(length, endStream)) })
		_, body, _ := f.get("/stream/x")
		Expect(body).To(Equal(streamText(length)))
		received := f.received()
		Expect(received).To(HaveLen(2))
		Expect(received[1].header.Get(headerLastEvent)).To(Equal("10"))
	})

	// Guards against an instance that checks a silent engine every millisecond.
	It("takes little processor time if it may never continue elsewhere", func() {
		f := newFixture()
		f.applyTable(func(r *routing.Route) { r.RetryPolicy = routing.RetryNever })
		startEndpoints(f, midStream, "a")
		_, body, _ := f.get("/stream/x")
		Expect(body).To(Equal(streamText(length)))
		Expect(f.clockReads.Load()).To(BeNumerically("<", 100))
	})

	// Guards against ending an attempt while its next event waits to be handled.
	It("is completed by the engine if an event arrives during the failover check", func() {
		released := make(chan struct{})
		release := sync.OnceFunc(func() { close(released) })
		synced := make(chan struct{})
		close(synced)
		f := newFixtureWithOptions(synced, func(f *fixture, o *forward.Options) {
			o.RetryBudget = forward.NewRetryBudget(forward.RetryBudgetOptions{Baseline: 100, Window: 10 * time.Second})
			o.LoadProber = loadprobe.New(loadprobe.Options{
				Client: delayedReport{release}, Balance: f.balance, Clock: bootclock.Now,
				Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
			})
		})
		f.applyTable(nil)
		for _, name := range []string{"a", "b"} {
			f.startEndpoint(name, func(rw http.ResponseWriter, r *http.Request) {
				<-released
				streamEvents(length, endStream)(rw, r)
			})
		}
		_, body, _ := f.get("/stream/x")
		Expect(body).To(Equal(streamText(length)))
		Expect(f.received()).To(HaveLen(1))
	})
})
