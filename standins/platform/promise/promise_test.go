package promise_test

import (
	"net/http"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/promise"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

func TestPromise(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "promise")
}

// Guards against a check that misses violations.
var _ = Describe("Violations", func() {
	body := []byte("body")
	order := world.Request{AttemptID: "a", Kind: world.KindOrder, Target: "/order/1", Body: body}
	ran := world.ReceivedRequest{AttemptID: "a", Target: "/order/1", BodyHash: world.Hash(body), Account: "acme"}
	changed, foreign, keyed := ran, ran, ran
	changed.Target = "/order/2"
	foreign.AttemptID = "b"
	keyed.APIKey = "key"

	DescribeTable("finds",
		func(o world.Outcome, arrivals []world.ReceivedRequest, want string) {
			o.Request = order
			if want == "" {
				Expect(promise.Violations([]world.Outcome{o}, arrivals, "acme")).To(BeEmpty())
				return
			}
			Expect(promise.Violations([]world.Outcome{o}, arrivals, "acme")).To(ConsistOf(ContainSubstring(want)))
		},
		Entry("nothing in a complete response", world.Outcome{Status: http.StatusOK, Complete: true}, []world.ReceivedRequest{ran}, ""),
		Entry("nothing in a refusal of a request that has not run", world.Outcome{Status: http.StatusServiceUnavailable}, nil, ""),
		Entry("an order that ran twice", world.Outcome{Status: http.StatusOK}, []world.ReceivedRequest{ran, ran}, "ran 2 times"),
		Entry("a refusal of a request that has run", world.Outcome{Status: http.StatusServiceUnavailable}, []world.ReceivedRequest{ran}, "although it ran"),
		Entry("status 404 for an existing route", world.Outcome{Status: http.StatusNotFound}, nil, "although the route exists"),
		Entry("a changed target", world.Outcome{Status: http.StatusOK}, []world.ReceivedRequest{changed}, "changed"),
		Entry("an API key that was passed on to the endpoint", world.Outcome{Status: http.StatusOK}, []world.ReceivedRequest{keyed}, "API key passed on: true"),
		Entry("a request that no caller sent", world.Outcome{Status: http.StatusOK}, []world.ReceivedRequest{foreign}, "no caller sent it"),
		Entry("a violation that the caller has seen itself", world.Outcome{Status: http.StatusOK, Violation: "event 2 twice"}, []world.ReceivedRequest{ran}, "event 2 twice"),
	)
})
