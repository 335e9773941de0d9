package forward_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/routing"
)

var _ = Describe("A prompt part that crashes engines", func() {
	const engines = 12
	var f *fixture
	var crashed atomic.Int32

	// startCrashingEngine starts an engine that crashes when it begins to generate for a
	// prompt with the part "deadly".
	startCrashingEngine := func(name string) {
		var server *httptest.Server
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(headerID, r.Header.Get(headerID))
			if !strings.Contains(r.Header.Get(headerParts), "deadly") {
				streamEvents(5, endStream)(w, r)
				return
			}
			crashed.Add(1)
			_ = server.Listener.Close()
			cutConnection("")(w, r)
		}))
		DeferCleanup(server.CloseClientConnections)
		f.addEndpoint(name, server.Listener.Addr().String())
	}

	BeforeEach(func() {
		f = newFixture()
		f.applyTable(nil)
		crashed.Store(0)
		for i := range engines {
			startCrashingEngine(fmt.Sprint("e", i))
		}
	})

	// ask sends a request that is like no other but for the parts.
	asked := 0
	ask := func(parts string) (int, http.Header) {
		asked++
		response, err := f.call(context.Background(), http.MethodPost, "/stream/x", strings.NewReader(fmt.Sprint("body ", asked)), http.Header{headerParts: {parts}})
		Expect(err).NotTo(HaveOccurred())
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		return response.StatusCode, response.Header
	}

	// Guards against requests of one kind that crash one engine after the other because no two are alike.
	It("is refused after a few crashes, while requests with its other parts are served", func() {
		for i := range 6 {
			_, _ = ask(fmt.Sprintf("house first%d deadly", i))
			time.Sleep(20 * time.Millisecond) // crashes are detected in the background
		}
		code, header := ask("house first9 deadly")
		Expect(code).NotTo(Equal(http.StatusOK))
		Expect(header.Get("Test-Reason")).To(Equal("crash_suspect"))
		// A request in progress may start one more attempt before a crash is detected.
		Expect(crashed.Load()).To(BeNumerically("<=", 5))
		for _, parts := range []string{"house first0", "house", "first1 season"} {
			code, _ = ask(parts)
			Expect(code).To(Equal(http.StatusOK))
		}
	})

	// Guards against a prompt that crashes its engine although the part was found meanwhile.
	DescribeTable("ends an attempt that still waits for its first event", func(policy routing.RetryPolicy) {
		f = newFixture()
		f.applyTable(func(r *routing.Route) { r.RetryPolicy = policy })
		f.startEndpoint("slow", hang)
		answered := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			code, _ := ask("first deadly")
			answered <- code
		}()
		Eventually(f.received).Should(HaveLen(1))
		time.Sleep(400 * time.Millisecond) // longer than the first check of a silent engine
		for i := range 3 {
			f.reportCrash(fmt.Sprint("e", i), "deadly")
		}
		Eventually(answered, time.Second).Should(Receive(Not(Equal(http.StatusServiceUnavailable))))
		Eventually(f.cancelledEndpoints).Should(ContainElement("slow"))
	},
		Entry("on a route that may be continued", routing.RetryFromLastEvent),
		Entry("on a route that must not be repeated", routing.RetryNever),
	)

	// Guards against a refusal that the caller gets only after other instances' crashes are old.
	It("is refused at once if other instances saw the crashes", func() {
		for i := range 3 {
			f.reportCrash(fmt.Sprint("e", i), "deadly")
		}
		began := bootclock.Now()
		code, _ := ask("first deadly")
		Expect(code).NotTo(Equal(http.StatusOK))
		Expect(bootclock.Now() - began).To(BeNumerically("<", 200*time.Millisecond))
		Expect(crashed.Load()).To(BeZero())
	})
})
