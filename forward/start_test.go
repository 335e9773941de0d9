package forward_test

import (
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// All instances were lost, and their callers reconnect while the new processes
// already listen but have not read the store yet.
var _ = Describe("A request to an instance that is starting", func() {
	// Guards against refusing the reconnecting callers some milliseconds before
	// they could be served.
	It("waits for the configuration and the endpoints", func() {
		synced := make(chan struct{})
		f := newFixtureWithSynced(synced)
		time.AfterFunc(50*time.Millisecond, func() {
			f.startEndpoint("a", respond("done"))
			f.applyTable(nil)
			close(synced)
		})
		code, body, _ := f.get("/lookup/x")
		Expect(code).To(Equal(http.StatusOK))
		Expect(body).To(Equal("done"))
	})

	// Guards against delaying requests while the store is unreachable.
	It("is refused after a small share of the caller's timeout", func() {
		f := newFixtureWithSynced(make(chan struct{}))
		began := time.Now()
		code, _, _ := f.get("/lookup/x")
		Expect(code).To(Equal(http.StatusServiceUnavailable))
		Expect(time.Since(began)).To(BeNumerically("<", 600*time.Millisecond))
	})
})
