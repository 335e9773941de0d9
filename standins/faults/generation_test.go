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

// modes runs a spec in both recovery modes.
func modes(text string, body func(change func(*harness.Options))) {
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
	// Guards against missing, repeated and mixed tokens after an engine's death.
	modes("survives kill -9 of its engine", func(change func(*harness.Options)) {
		b := start(2, 3, change)
		streams := b.openMany(0, 6)
		b.engineOf(b.reach(streams, faultAt)).Kill()
		b.expectWhole(streams)
	})

	// Guards against chunks of an engine that comes back after it was given up.
	modes("never hears late chunks of a frozen engine", func(change func(*harness.Options)) {
		b := start(2, 3, change)
		streams := b.openMany(0, 6)
		victim := b.engineOf(b.reach(streams, faultAt))
		victim.Pause()
		b.reach(streams, faultAt+50)
		victim.Continue()
		b.expectWhole(streams)
	})

	// Guards against waiting for good on a connection that is open and silent
	// while the engine answers on new ones.
	modes("survives a connection that goes silent for good", func(change func(*harness.Options)) {
		b := start(2, 2, change)
		streams := b.openMany(0, 4)
		b.engineOf(b.reach(streams, faultAt)).Proxy.Freeze("", false, cutproxy.Down)
		b.expectWhole(streams)
	})

	// Guards against a view of one instance that makes others give an engine up,
	// and against a lost answer on the cut-off side.
	modes("survives a partition between its instance and its engine", func(change func(*harness.Options)) {
		b := start(2, 3, change)
		streams := b.openMany(0, 4)
		last := b.reach(streams, faultAt)
		engine, instance := b.engineOf(last), b.instanceOf(last)
		engine.Proxy.Freeze(instance.Spec.ID, true, cutproxy.Up, cutproxy.Down)
		b.expectWhole(streams)
		engine.Proxy.Heal(instance.Spec.ID)
		more := b.openMany(10, 4)
		b.expectWhole(more)
	})

	// Guards against an answer that starts over or skips when the caller comes
	// back to another instance.
	modes("continues at another instance after kill -9 of its own", func(change func(*harness.Options)) {
		b := start(3, 3, change)
		streams := b.openMany(0, 6)
		victim := b.instanceOf(b.reach(streams, faultAt))
		Expect(b.KillInstance(b.ctx, victim.Spec.ID)).To(Succeed())
		b.expectWhole(streams)
		Expect(streams[0].Reconnects()).To(BeNumerically(">", 0))
	})

	for _, carry := range []bool{false, true} {
		// Guards against a continuation from a wrong prefix when neither the
		// instance nor the engine's stream is left.
		It(fmt.Sprintf("survives kill -9 of instance and engine (caller carries the prefix: %t)", carry), func() {
			b := start(3, 3, nil)
			b.caller.SendReceivedTokens = carry
			streams := b.openMany(0, 1)
			last := b.reach(streams, faultAt)
			b.engineOf(last).Kill()
			Expect(b.KillInstance(b.ctx, b.instanceOf(last).Spec.ID)).To(Succeed())
			b.expectWhole(streams)
		})
	}

	// Guards against two connections that both get tokens of one answer, or an
	// older one that takes the answer back.
	It("goes to the newer of two connections", func() {
		b := start(2, 2, nil)
		older := b.from("instance-1")
		older.NoReconnect = true
		first := older.Open(b.ctx, generation(1))
		_, err := first.WaitForTokens(b.ctx, faultAt)
		Expect(err).NotTo(HaveOccurred())
		second := b.from("instance-2").Resume(b.ctx, generation(1), first.Events())
		Expect(second.WaitAndCheck(b.ctx)).To(Succeed())
		Eventually(first.Done()).WithTimeout(hangBound).Should(BeClosed())
		Expect(first.Complete()).To(BeFalse())
		Expect(first.CheckReceivedTokens()).To(Succeed())
		Expect(first.Failure()).NotTo(BeNil())
		Expect(first.Failure().Reason).To(Equal(reason.Superseded))
	})

	// Guards against a request that takes down engine after engine, also when
	// its caller sends it again.
	It("is refused when its content crashes engines", func() {
		const poison = "hemlock"
		b := start(2, 5, func(o *harness.Options) {
			for i := range o.Endpoints {
				if o.Endpoints[i].Kind == api.KindEngine {
					// Deaths in one failure domain within 1 s count as its failure.
					o.Endpoints[i].FailureDomain = api.FailureDomain(fmt.Sprintf("fukuoka-%d", i))
					o.Endpoints[i].Region = "fukuoka"
					o.Endpoints[i].Arguments = append(o.Endpoints[i].Arguments, "--poison", poison)
				}
			}
		})
		var last *harness.Stream
		for n := range 5 {
			g := generation(100 + n)
			g.Prompt, g.Seed = poison, 1
			caller := b.from(fmt.Sprintf("instance-%d", 1+n%2))
			last = caller.Open(b.ctx, g)
			Eventually(last.Done()).WithTimeout(hangBound).Should(BeClosed())
			Expect(last.Events()).To(BeEmpty())
			Expect(last.Failure()).NotTo(BeNil())
			GinkgoWriter.Println("send", n, last.Failure().Reason, last.Failure().Run)
		}
		Expect(last.Failure().Reason).To(Equal(reason.CrashSuspect))
		dead := 0
		for n := range 5 {
			if !b.Endpoint(fmt.Sprintf("engine-%d", n+1)).Alive() {
				dead++
			}
		}
		Expect(dead).To(BeNumerically("<=", 3))
		b.expectWhole(b.openMany(0, 2))
	})
})

var _ = Describe("A graceful shutdown", func() {
	// Guards against an engine that is restarted and takes its streams with it.
	It("of an engine cuts nothing off", func() {
		b := start(2, 2, nil)
		b.caller.NoReconnect = true
		streams := b.openMany(0, 4)
		engine := b.engineOf(b.reach(streams, faultAt))
		engine.Terminate()
		b.expectWhole(streams)
		Eventually(engine.Exited()).WithTimeout(hangBound).Should(BeClosed())
		Expect(engine.ExitError()).To(Succeed())
		b.expectWhole(b.openMany(10, 2))
	})

	// Guards against an instance that is replaced and breaks its callers'
	// streams, orders or lookups.
	It("of an instance cuts nothing off", func() {
		b := start(2, 2, nil)
		b.caller.NoReconnect = true
		streams := []*harness.Stream{b.from("instance-1").Open(b.ctx, generation(1))}
		b.reach(streams, faultAt)
		Expect(b.SetServiceFaults(b.ctx, "desk", service.Faults{LatencyMS: 1000})).To(Succeed())
		address := b.Instance("instance-1").CallerAddress
		order, lookup := make(chan harness.OrderResponse, 1), make(chan int, 1)
		go func() { order <- b.caller.Order(b.ctx, address, "slow", harness.OrderBody("slow")) }()
		go func() {
			status, _, _ := b.caller.Lookup(b.ctx, address, "parcel")
			lookup <- status
		}()
		time.Sleep(300 * time.Millisecond) // both are at the service by then
		Expect(b.TerminateInstance(b.ctx, "instance-1")).To(Succeed())
		b.expectWhole(streams)
		Expect((<-order).State).To(Equal("done"))
		Expect(<-lookup).To(Equal(http.StatusOK))
		book, err := b.Bookings()
		Expect(err).NotTo(HaveOccurred())
		Expect(book[harness.OrderBody("slow")]).To(Equal(1))
		Eventually(b.Instance("instance-1").Exited()).WithTimeout(hangBound).Should(BeClosed())
		Expect(b.Instance("instance-1").ExitError()).To(Succeed())
	})
})

var _ = Describe("A ticket that takes an endpoint away", func() {
	// Guards against new work on an endpoint of the other half. 3 s is the
	// requirement, counted from the submission.
	It("stops new work within 3 s and cuts nothing off", func() {
		const target = 3 * time.Second
		b := start(3, 2, nil)
		long := generation(1)
		long.MaxTokens = 600
		running := b.from("instance-1").Open(b.ctx, long)
		last, err := running.WaitForTokens(b.ctx, faultAt)
		Expect(err).NotTo(HaveOccurred())
		leaving := b.engineOf(last)

		ticket := b.NextTicket()
		for i := range ticket.Endpoints {
			if ticket.Endpoints[i].ID == leaving.Spec.ID {
				ticket.Endpoints[i].Half = "east"
			}
		}
		submitted := time.Now()
		status, answer, err := b.PutTicket(b.ctx, "instance-2", ticket)
		Expect(err).NotTo(HaveOccurred())
		Expect(status).To(BeNumerically("<", 300), string(answer))
		var streams []*harness.Stream
		for n := 0; time.Since(submitted) < target+2*time.Second; n++ {
			g := generation(100 + n)
			g.MaxTokens = 5
			streams = append(streams, b.from(fmt.Sprintf("instance-%d", 1+n%3)).Open(b.ctx, g))
			time.Sleep(50 * time.Millisecond)
		}
		b.expectWhole(append(streams, running))
		stats, err := b.EngineStats(b.ctx, leaving.Name)
		Expect(err).NotTo(HaveOccurred())
		Expect(time.UnixMilli(stats.LastStartUnixMS)).To(BeTemporally("<", submitted.Add(target)))
		_, err = b.RunCtl(b.ctx, "instance-3", "wait", fmt.Sprint(ticket.Number))
		Expect(err).NotTo(HaveOccurred())
	})
})
