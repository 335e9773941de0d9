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

// Guards against a check that finds nothing.
var _ = Describe("Broken", func() {
	body := []byte("body")
	order := world.Request{Attempt: "a", Kind: world.KindOrder, Target: "/order/1", Body: body}
	ran := world.Arrival{Attempt: "a", Target: "/order/1", Body: world.Hash(body), Account: "acme"}
	changed, foreign, keyed := ran, ran, ran
	changed.Target = "/order/2"
	foreign.Attempt = "b"
	keyed.Key = "key"

	DescribeTable("finds",
		func(o world.Outcome, arrivals []world.Arrival, want string) {
			o.Request = order
			if want == "" {
				Expect(promise.Broken([]world.Outcome{o}, arrivals, "acme")).To(BeEmpty())
				return
			}
			Expect(promise.Broken([]world.Outcome{o}, arrivals, "acme")).To(ConsistOf(ContainSubstring(want)))
		},
		Entry("nothing in a whole answer", world.Outcome{Status: http.StatusOK, Whole: true}, []world.Arrival{ran}, ""),
		Entry("nothing in a refusal of what has not run", world.Outcome{Status: http.StatusServiceUnavailable}, nil, ""),
		Entry("an order that ran twice", world.Outcome{Status: http.StatusOK}, []world.Arrival{ran, ran}, "ran 2 times"),
		Entry("a refusal of what has run", world.Outcome{Status: http.StatusServiceUnavailable}, []world.Arrival{ran}, "although it ran"),
		Entry("a route that is not found", world.Outcome{Status: http.StatusNotFound}, nil, "although the route exists"),
		Entry("a changed target", world.Outcome{Status: http.StatusOK}, []world.Arrival{changed}, "changed"),
		Entry("a key that was passed on", world.Outcome{Status: http.StatusOK}, []world.Arrival{keyed}, "key passed on"),
		Entry("what no caller has sent", world.Outcome{Status: http.StatusOK}, []world.Arrival{foreign}, "no caller has sent it"),
		Entry("what the caller saw itself", world.Outcome{Status: http.StatusOK, Fault: "event 2 twice"}, []world.Arrival{ran}, "event 2 twice"),
	)
})
