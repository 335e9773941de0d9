package generation

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/reason"
)

func TestGeneration(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "generation")
}

const streamBody = `{"model":"m","prompt":"p","max_tokens":40,"seed":7,"stream":true}`

var _ = Describe("completions over HTTP", func() {
	var engines []*fakeEngine
	var b *testInstance
	start := func(change func(*Options), list ...*fakeEngine) {
		engines = list
		b = newTestInstance(change, list...)
		DeferCleanup(func() {
			b.stop()
			for _, engine := range engines {
				engine.stop()
			}
			Expect(b.placer.activeGrants).To(BeEmpty(), "every grant is released")
		})
	}

	// Guards against a broken whole path: identity, order, end of stream.
	It("streams a whole answer with event ids", func() {
		start(nil, newFakeEngine())
		a := b.send(streamBody, nil)
		Expect(a.status).To(Equal(200))
		Eventually(func() int { return b.runner.OpenStreams("e1") }).Should(BeZero())
		Expect(a.tokens).To(Equal(expectedTokens("p", 7, 0, 40)))
		Expect(a.ids).To(HaveLen(40))
		Expect(a.finishReason).To(Equal("length"))
		Expect(a.done).To(BeTrue())
	})

	It("returns an answer that is not streamed as one object", func() {
		start(nil, newFakeEngine())
		a := b.send(`{"model":"m","prompt":"p","max_tokens":3,"seed":7}`, nil)
		Expect(a.status).To(Equal(200))
		Expect(a.body).To(ContainSubstring(`"text":"t0 t1 t2 "`))
	})

	for _, mode := range []string{RecoveryEager, RecoverySparing} {
		// Guards against lost, repeated or recomputed tokens after a loss.
		It("continues from the exact prefix when the connection closes, "+mode, func() {
			first, second := newFakeEngine(), newFakeEngine()
			first.closeBefore = 10
			start(func(o *Options) { o.Recovery = mode }, first, second)
			a := b.send(streamBody, nil)
			Expect(a.tokens).To(Equal(expectedTokens("p", 7, 0, 40)))
			Expect(a.done).To(BeTrue())
			if mode == RecoveryEager {
				Expect(second.openRequests).To(HaveLen(1))
				Expect(second.openRequests[0].PrefixTokens).To(Equal(expectedTokens("p", 7, 0, 10)))
			} else {
				Expect(first.resumeCount).To(Equal(1))
				Expect(second.openRequests).To(BeEmpty())
			}
			Expect(b.runner.ResumedStreams()).To(HaveLen(1))
		})

		// Guards against waiting forever on a connection that went silent.
		It("continues when an engine goes silent, "+mode, func() {
			first, second := newFakeEngine(), newFakeEngine()
			first.freezeBefore, first.tokenInterval, second.tokenInterval = 10, time.Millisecond, time.Millisecond
			start(func(o *Options) { o.Recovery = mode }, first, second)
			a := b.send(streamBody, nil)
			Expect(a.tokens).To(Equal(expectedTokens("p", 7, 0, 40)))
			Expect(a.done).To(BeTrue())
		})
	}

	// Guards against retries that multiply an overload.
	It("does not send a refused request again without budget", func() {
		first, second := newFakeEngine(), newFakeEngine()
		first.refuseNew = true
		start(func(o *Options) { o.Admitter = fakeAdmitter{noRetries: true} }, first, second)
		a := b.send(streamBody, nil)
		Expect(a.err.Reason).To(Equal(reason.RetryBudget))
		Expect(a.err.Run).To(Equal(reason.RunNo))
		Expect(second.openRequests).To(BeEmpty())
	})

	// Guards against an error that claims the request was not run.
	It("refuses as not run when no engine is available", func() {
		first := newFakeEngine()
		first.refuseNew = true
		start(nil, first)
		a := b.send(streamBody, map[string]string{"Request-Timeout-Ms": "300"})
		Expect(a.status).To(BeNumerically(">=", 400))
		Expect(a.err.Run).To(Equal(reason.RunNo))
	})
})
