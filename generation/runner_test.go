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
	var instance *testInstance
	start := func(change func(*Options), list ...*fakeEngine) {
		engines = list
		instance = newTestInstance(change, list...)
		DeferCleanup(func() {
			instance.stop()
			for _, engine := range engines {
				engine.stop()
			}
			Expect(instance.placer.activeGrants).To(BeEmpty(), "grants were not released")
		})
	}

	// Guards against wrong event IDs, a wrong order and a missing end of the stream.
	It("stream a whole response with event IDs", func() {
		start(nil, newFakeEngine())
		response := instance.send(streamBody, nil)
		Expect(response.status).To(Equal(200))
		Eventually(func() int { return instance.runner.OpenStreams("e1") }).Should(BeZero())
		Expect(response.tokens).To(Equal(expectedTokens("p", 7, 0, 40)))
		Expect(response.ids).To(HaveLen(40))
		Expect(response.finishReason).To(Equal("length"))
		Expect(response.receivedDone).To(BeTrue())
	})

	// Guards against a missing token in the collected text.
	It("return a response that is not streamed as one object", func() {
		start(nil, newFakeEngine())
		response := instance.send(`{"model":"m","prompt":"p","max_tokens":3,"seed":7}`, nil)
		Expect(response.status).To(Equal(200))
		Expect(response.body).To(ContainSubstring(`"text":"t0 t1 t2 "`))
	})

	for _, mode := range []string{RecoveryEager, RecoverySparing} {
		// Guards against missing, repeated or recomputed tokens after an interruption.
		It("continue from the exact prefix when the connection closes, in "+mode+" recovery", func() {
			first, second := newFakeEngine(), newFakeEngine()
			first.closeBefore = 10
			start(func(o *Options) { o.Recovery = mode }, first, second)
			response := instance.send(streamBody, nil)
			Expect(response.tokens).To(Equal(expectedTokens("p", 7, 0, 40)))
			Expect(response.receivedDone).To(BeTrue())
			if mode == RecoveryEager {
				Expect(second.openRequests).To(HaveLen(1))
				Expect(second.openRequests[0].PrefixTokens).To(Equal(expectedTokens("p", 7, 0, 10)))
			} else {
				Expect(first.resumeCount).To(Equal(1))
				Expect(second.openRequests).To(BeEmpty())
			}
			Expect(instance.runner.ResumedStreams()).To(HaveLen(1))
		})

		// Guards against waiting forever on a connection that went silent.
		It("continue when an engine goes silent, in "+mode+" recovery", func() {
			first, second := newFakeEngine(), newFakeEngine()
			first.freezeBefore, first.tokenInterval, second.tokenInterval = 10, time.Millisecond, time.Millisecond
			start(func(o *Options) { o.Recovery = mode }, first, second)
			response := instance.send(streamBody, nil)
			Expect(response.tokens).To(Equal(expectedTokens("p", 7, 0, 40)))
			Expect(response.receivedDone).To(BeTrue())
		})
	}

	// Guards against retries that multiply an overload.
	It("are not retried after a refusal when the retry budget is used up", func() {
		first, second := newFakeEngine(), newFakeEngine()
		first.refuseNew = true
		start(func(o *Options) { o.Admitter = fakeAdmitter{noRetries: true} }, first, second)
		response := instance.send(streamBody, nil)
		Expect(response.err.Reason).To(Equal(reason.RetryBudget))
		Expect(response.err.Run).To(Equal(reason.RunNo))
		Expect(second.openRequests).To(BeEmpty())
	})

	// Guards against an error that does not say that the request was not run.
	It("are refused as not run when no engine is available", func() {
		first := newFakeEngine()
		first.refuseNew = true
		start(nil, first)
		response := instance.send(streamBody, map[string]string{"Request-Timeout-Ms": "300"})
		Expect(response.status).To(BeNumerically(">=", 400))
		Expect(response.err.Run).To(Equal(reason.RunNo))
	})
})
