package harness

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHarness(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "harness")
}

// scriptedInstance starts a server that responds like an instance which serves the
// tokens [first, end), followed by suffix.
func scriptedInstance(g Generation, first, end int, suffix string) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if first > 0 {
			Expect(r.Header.Get(lastEventIDHeader)).To(HaveSuffix(fmt.Sprint(first - 1)))
		}
		for position := first; position < end; position++ {
			fmt.Fprintf(w, "id: id-%d\ndata: {\"choices\":[{\"token\":%d,\"position\":%d}]}\n\n", position, g.ExpectedTokens()[position], position)
		}
		fmt.Fprint(w, suffix)
	}))
	DeferCleanup(server.Close)
	return server
}

var _ = Describe("Caller", func() {
	g := Generation{Model: "m", Prompt: "p", MaxTokens: 10, Seed: 1}
	const done = "data: [DONE]\n\n"
	address := func(s *httptest.Server) string { return strings.TrimPrefix(s.URL, "http://") }
	check := func(servers ...*httptest.Server) error {
		caller := &Caller{}
		for _, server := range servers {
			caller.InstanceAddresses = append(caller.InstanceAddresses, address(server))
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		return caller.Open(ctx, g).WaitAndCheck(ctx)
	}

	// Guards against a caller that starts over after a reconnect and so hides a
	// position that the instances lost.
	It("continues at another instance with the last event ID", func() {
		Expect(check(scriptedInstance(g, 0, 4, ""), scriptedInstance(g, 4, 10, done))).To(Succeed())
	})

	// Guards against a check that accepts a missing token, also after a connection
	// without events, or a wrong one.
	It("reports a response with missing or wrong tokens", func() {
		Expect(check(scriptedInstance(g, 0, 9, done))).To(MatchError(ContainSubstring("9 of 10")))
		Expect(check(scriptedInstance(g, 0, 4, ""), scriptedInstance(g, 4, 4, ""), scriptedInstance(g, 4, 9, done))).NotTo(Succeed())
		other := g
		other.Seed = 2
		Expect(check(scriptedInstance(other, 0, 10, done))).To(MatchError(ContainSubstring("wrong token")))
	})
})
