package faults_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/standins/cutproxy"
	"github.com/hibiscusstair/hibiscusstair/standins/harness"
	"github.com/hibiscusstair/hibiscusstair/standins/service"
)

// itInBothRecoveryModes defines a spec for each of the two recovery modes.
func itInBothRecoveryModes(text string, body func(configure func(*harness.Options))) {
	for _, mode := range []string{"eager", "sparing"} {
		It(text+" ("+mode+")", func() {
			body(func(o *harness.Options) {
				for i := range o.Instances {
					o.Instances[i].Arguments = append(o.Instances[i].Arguments, "--recovery", mode)
				}
			})
		})
	}
}

var _ = Describe("A generation", func() {
	// Guards against missing, repeated or mixed tokens after an engine crashed.
	itInBothRecoveryModes("survives kill -9 of its engine", func(configure func(*harness.Options)) {
		f := startFleet(2, 3, configure)
		streams := f.openGenerations(0, 6)
		f.engineOf(f.waitForTokens(streams, tokensBeforeFault)).Kill()
		f.expectCompleteResponses(streams)
	})

	// Guards against chunks of an engine that continues after the generation failed
	// over to another engine.
	itInBothRecoveryModes("ignores late chunks of a paused engine", func(configure func(*harness.Options)) {
		f := startFleet(2, 3, configure)
		streams := f.openGenerations(0, 6)
		target := f.engineOf(f.waitForTokens(streams, tokensBeforeFault))
		target.Pause()
		f.waitForTokens(streams, tokensBeforeFault+50)
		target.Continue()
		f.expectCompleteResponses(streams)
	})

	// Guards against waiting forever on a connection that is open but delivers no
	// data, while the engine responds on new connections.
	itInBothRecoveryModes("survives an engine connection that stays open but delivers no more data", func(configure func(*harness.Options)) {
		f := startFleet(2, 2, configure)
		streams := f.openGenerations(0, 4)
		// Stalls the connections that are open, for all instances; new ones work.
		f.engineOf(f.waitForTokens(streams, tokensBeforeFault)).Proxy.Freeze("", false, cutproxy.Down)
		f.expectCompleteResponses(streams)
	})

	// Guards against a lost response at an instance that can't reach the engine. What
	// this instance observes must not make others stop using the engine either; the
	// spec checks only that all instances serve generations afterwards.
	itInBothRecoveryModes("survives a partition between its instance and its engine", func(configure func(*harness.Options)) {
		f := startFleet(2, 3, configure)
		streams := f.openGenerations(0, 4)
		last := f.waitForTokens(streams, tokensBeforeFault)
		engine, instance := f.engineOf(last), f.instanceOf(last)
		engine.Proxy.Freeze(instance.Spec.ID, true, cutproxy.Up, cutproxy.Down)
		f.expectCompleteResponses(streams)
		engine.Proxy.Heal(instance.Spec.ID)
		later := f.openGenerations(10, 4)
		f.expectCompleteResponses(later)
	})

	// Guards against a response that restarts or skips tokens when the caller
	// reconnects to another instance.
	itInBothRecoveryModes("continues at another instance after kill -9 of its own", func(configure func(*harness.Options)) {
		f := startFleet(3, 3, configure)
		streams := f.openGenerations(0, 6)
		target := f.instanceOf(f.waitForTokens(streams, tokensBeforeFault))
		Expect(f.KillInstance(f.ctx, target.Spec.ID)).To(Succeed())
		f.expectCompleteResponses(streams)
		Expect(streams[0].Reconnects()).To(BeNumerically(">", 0))
	})

	for _, sendsReceivedTokens := range []bool{false, true} {
		// Guards against a continuation from a wrong prefix after both the instance
		// and the engine's stream are lost.
		It(fmt.Sprintf("survives kill -9 of its instance and its engine (caller sends the received tokens: %t)", sendsReceivedTokens), func() {
			f := startFleet(3, 3, nil)
			f.caller.SendReceivedTokens = sendsReceivedTokens
			streams := f.openGenerations(0, 1)
			last := f.waitForTokens(streams, tokensBeforeFault)
			f.engineOf(last).Kill()
			Expect(f.KillInstance(f.ctx, f.instanceOf(last).Spec.ID)).To(Succeed())
			f.expectCompleteResponses(streams)
		})
	}

	// Guards against two connections that both receive tokens of one response, and
	// against an older connection that replaces a newer one.
	It("continues only on the newer of two connections", func() {
		f := startFleet(2, 2, nil)
		older := f.callerAt("instance-1")
		older.NoReconnect = true
		first := older.Open(f.ctx, newGeneration(1))
		_, err := first.WaitForTokens(f.ctx, tokensBeforeFault)
		Expect(err).NotTo(HaveOccurred())
		second := f.callerAt("instance-2").Resume(f.ctx, newGeneration(1), first.Events())
		Expect(second.WaitAndCheck(f.ctx)).To(Succeed())
		Eventually(first.Done()).WithTimeout(specTimeout).Should(BeClosed())
		Expect(first.Complete()).To(BeFalse())
		Expect(first.CheckReceivedTokens()).To(Succeed())
		Expect(first.Failure()).NotTo(BeNil())
		Expect(first.Failure().Reason).To(Equal(reason.Superseded))
	})

	// Guards against a request that crashes one engine after the other, also when
	// its caller sends it again under another key.
	It("is refused when its content crashes engines", func() {
		const poison = "hemlock"
		f := startFleet(2, 5, func(o *harness.Options) {
			for i := range o.Endpoints {
				if o.Endpoints[i].Kind == api.KindEngine {
					// Crashes of several engines of one failure domain within 1 s count as
					// a failure of the domain, so each engine gets a domain of its own.
					o.Endpoints[i].FailureDomain = api.FailureDomain(fmt.Sprintf("fukuoka-%d", i))
					o.Endpoints[i].Region = "fukuoka"
					o.Endpoints[i].Arguments = append(o.Endpoints[i].Arguments, "--poison", poison)
				}
			}
		})
		var last *harness.Stream
		for n := range 5 {
			g := newGeneration(100 + n)
			g.Prompt, g.Seed = poison, 1
			caller := f.callerAt(fmt.Sprintf("instance-%d", 1+n%2))
			last = caller.Open(f.ctx, g)
			Eventually(last.Done()).WithTimeout(specTimeout).Should(BeClosed())
			Expect(last.Events()).To(BeEmpty())
			Expect(last.Failure()).NotTo(BeNil())
			GinkgoWriter.Println("send", n, last.Failure().Reason, last.Failure().Run)
		}
		Expect(last.Failure().Reason).To(Equal(reason.CrashSuspect))
		crashed := 0
		for n := range 5 {
			if !f.Endpoint(fmt.Sprintf("engine-%d", n+1)).Alive() {
				crashed++
			}
		}
		Expect(crashed).To(BeNumerically("<=", 3))
		f.expectCompleteResponses(f.openGenerations(0, 2))
	})
})

var _ = Describe("A graceful shutdown", func() {
	// Guards against streams that are interrupted when their engine is restarted
	// gracefully.
	It("of an engine interrupts no stream", func() {
		f := startFleet(2, 2, nil)
		f.caller.NoReconnect = true
		streams := f.openGenerations(0, 4)
		engine := f.engineOf(f.waitForTokens(streams, tokensBeforeFault))
		engine.Terminate()
		f.expectCompleteResponses(streams)
		Eventually(engine.Exited()).WithTimeout(specTimeout).Should(BeClosed())
		Expect(engine.ExitError()).To(Succeed())
		f.expectCompleteResponses(f.openGenerations(10, 2))
	})

	// Guards against streams, orders and lookups that are interrupted when their
	// instance is replaced.
	It("of an instance interrupts no stream, order or lookup", func() {
		f := startFleet(2, 2, nil)
		f.caller.NoReconnect = true
		streams := []*harness.Stream{f.callerAt("instance-1").Open(f.ctx, newGeneration(1))}
		f.waitForTokens(streams, tokensBeforeFault)
		Expect(f.SetServiceFaults(f.ctx, "desk", service.Faults{LatencyMS: 1000})).To(Succeed())
		address := f.Instance("instance-1").CallerAddress
		order, lookup := make(chan harness.OrderResponse, 1), make(chan int, 1)
		go func() { order <- f.caller.Order(f.ctx, address, "slow", harness.OrderBody("slow")) }()
		go func() {
			status, _, _ := f.caller.Lookup(f.ctx, address, "parcel")
			lookup <- status
		}()
		time.Sleep(300 * time.Millisecond) // both requests reach the service, which then delays them
		Expect(f.TerminateInstance(f.ctx, "instance-1")).To(Succeed())
		f.expectCompleteResponses(streams)
		Expect((<-order).State).To(Equal("done"))
		Expect(<-lookup).To(Equal(http.StatusOK))
		bookings, err := f.Bookings()
		Expect(err).NotTo(HaveOccurred())
		Expect(bookings[harness.OrderBody("slow")]).To(Equal(1))
		Eventually(f.Instance("instance-1").Exited()).WithTimeout(specTimeout).Should(BeClosed())
		Expect(f.Instance("instance-1").ExitError()).To(Succeed())
	})
})

var _ = Describe("A ticket that moves an endpoint to the other half", func() {
	// Guards against new work on an endpoint of the other half. The requirement is
	// 3 s from the submission of the ticket.
	It("stops new work on it within 3 s and interrupts no stream", func() {
		const maxDelay = 3 * time.Second
		f := startFleet(3, 2, nil)
		longGeneration := newGeneration(1)
		longGeneration.MaxTokens = 600 // still runs when maxDelay has passed
		longStream := f.callerAt("instance-1").Open(f.ctx, longGeneration)
		last, err := longStream.WaitForTokens(f.ctx, tokensBeforeFault)
		Expect(err).NotTo(HaveOccurred())
		removed := f.engineOf(last)

		ticket := f.NextTicket()
		for i := range ticket.Endpoints {
			if ticket.Endpoints[i].ID == removed.Spec.ID {
				ticket.Endpoints[i].Half = "east"
			}
		}
		submitted := time.Now()
		status, body, err := f.PutTicket(f.ctx, "instance-2", ticket)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(BeNumerically("<", 300), string(body))
		var streams []*harness.Stream
		for n := 0; time.Since(submitted) < maxDelay+2*time.Second; n++ {
			g := newGeneration(100 + n)
			g.MaxTokens = 5
			streams = append(streams, f.callerAt(fmt.Sprintf("instance-%d", 1+n%3)).Open(f.ctx, g))
			time.Sleep(50 * time.Millisecond)
		}
		f.expectCompleteResponses(append(streams, longStream))
		stats, err := f.EngineStats(f.ctx, removed.Name)
		Expect(err).NotTo(HaveOccurred())
		Expect(time.UnixMilli(stats.LastStartUnixMS)).To(BeTemporally("<", submitted.Add(maxDelay)))
		_, err = f.RunCtl(f.ctx, "instance-3", "wait", fmt.Sprint(ticket.Number))
		Expect(err).NotTo(HaveOccurred())
	})
})
