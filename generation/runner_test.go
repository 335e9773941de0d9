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
			Expect(b.placer.activeGrants).To(BeEmpty(), "grants were not released")
		})
	}

	// Guards against wrong event ids, a wrong order and a missing end of the stream.
	It("stream a whole response with event ids", func() {
		start(nil, newFakeEngine())
		a := b.send(streamBody, nil)
		Expect(a.status).To(Equal(200))
		Eventually(func() int { return b.runner.OpenStreams("e1") }).Should(BeZero())
		Expect(a.tokens).To(Equal(expectedTokens("p", 7, 0, 40)))
		Expect(a.ids).To(HaveLen(40))
		Expect(a.finishReason).To(Equal("length"))
		Expect(a.receivedDone).To(BeTrue())
	})

	It("return a response that is not streamed as one object", func() {
		start(nil, newFakeEngine())
		a := b.send(`{"model":"m","prompt":"p","max_tokens":3,"seed":7}`, nil)
		Expect(a.status).To(Equal(200))
		Expect(a.body).To(ContainSubstring(`"text":"t0 t1 t2 "`))
	})

	for _, mode := range []string{RecoveryEager, RecoverySparing} {
		// Guards against missing, repeated or recomputed tokens after an interruption.
		It("continue from the exact prefix when the connection closes, recovery "+mode, func() {
			first, second := newFakeEngine(), newFakeEngine()
			first.closeBefore = 10
			start(func(o *Options) { o.Recovery = mode }, first, second)
			a := b.send(streamBody, nil)
			Expect(a.tokens).To(Equal(expectedTokens("p", 7, 0, 40)))
			Expect(a.receivedDone).To(BeTrue())
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
		It("continue when an engine goes silent, recovery "+mode, func() {
			first, second := newFakeEngine(), newFakeEngine()
			first.freezeBefore, first.tokenInterval, second.tokenInterval = 10, time.Millisecond, time.Millisecond
			start(func(o *Options) { o.Recovery = mode }, first, second)
			a := b.send(streamBody, nil)
			Expect(a.tokens).To(Equal(expectedTokens("p", 7, 0, 40)))
			Expect(a.receivedDone).To(BeTrue())
		})
	}

	// Guards against retries that multiply an overload.
	It("are not sent again after a refusal without retry budget", func() {
		first, second := newFakeEngine(), newFakeEngine()
		first.refuseNew = true
		start(func(o *Options) { o.Admitter = fakeAdmitter{noRetries: true} }, first, second)
		a := b.send(streamBody, nil)
		Expect(a.err.Reason).To(Equal(reason.RetryBudget))
		Expect(a.err.Run).To(Equal(reason.RunNo))
		Expect(second.openRequests).To(BeEmpty())
	})

	// Guards against an error without the status that the request was not run.
	It("are refused as not run when no engine is available", func() {
		first := newFakeEngine()
		first.refuseNew = true
		start(nil, first)
		a := b.send(streamBody, map[string]string{"Request-Timeout-Ms": "300"})
		Expect(a.status).To(BeNumerically(">=", 400))
		Expect(a.err.Run).To(Equal(reason.RunNo))
	})
})
