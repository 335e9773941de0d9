package forward_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/forward"
)

// Load: an instance of a large fleet sees few requests, so its part of the retry
// budget is a repetition or two, and a failure domain of engines is down.
var _ = Describe("A retry budget that is used up", func() {
	// Guards against refusing a request of which nothing has reached an endpoint.
	DescribeTable("does not count endpoints that could not be reached",
		func(path string, serve http.HandlerFunc) {
			known := make(chan struct{})
			close(known)
			w := newWorldWith(known, forward.RetryBudgetOptions{Window: 10 * time.Second})
			w.serve(nil)
			for _, name := range []string{"down-1", "down-2", "down-3", "down-4", "down-5"} {
				w.add(name, "127.0.0.1:1")
			}
			w.endpoint("there", serve)
			for range 4 {
				code, _, _ := w.get(path)
				Expect(code).To(Equal(http.StatusOK))
			}
		},
		Entry("for a stream", "/stream/x", events(3, complete)),
		Entry("for a plain request", "/lookup/x", answer("done")),
	)

	// Guards against failures that multiply the load of a service.
	It("ends the repetition of what has run", func() {
		known := make(chan struct{})
		close(known)
		w := newWorldWith(known, forward.RetryBudgetOptions{Window: 10 * time.Second})
		w.serve(nil)
		w.endpoint("a", status(http.StatusInternalServerError))
		w.endpoint("b", status(http.StatusInternalServerError))
		code, _, _ := w.get("/lookup/x")
		Expect(code).To(Equal(http.StatusInternalServerError))
		Expect(w.seen()).To(HaveLen(1))
	})
})
