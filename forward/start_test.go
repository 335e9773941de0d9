package forward_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// Load: all instances were lost, and their callers return in the moment in which
// the new processes listen but have not read the store.
var _ = Describe("A request at an instance that starts", func() {
	// Guards against refusing the wave of returning callers some milliseconds
	// before it could be served.
	It("waits for the configuration and the endpoints", func() {
		known := make(chan struct{})
		w := newStartingWorld(known)
		time.AfterFunc(50*time.Millisecond, func() {
			w.endpoint("a", answer("done"))
			w.serve(nil)
			close(known)
		})
		code, body, _ := w.get("/lookup/x")
		Expect(code).To(Equal(http.StatusOK))
		Expect(body).To(Equal("done"))
	})

	// Guards against holding requests while the store is away.
	It("is refused after a small part of the caller's patience", func() {
		w := newStartingWorld(make(chan struct{}))
		began := time.Now()
		code, _, _ := w.get("/lookup/x")
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(began)).To(BeNumerically("<", 600*time.Millisecond))
	})
})
