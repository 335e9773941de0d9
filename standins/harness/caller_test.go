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

// scripted answers like an instance that serves the tokens [from, to).
func scripted(g Generation, from, to int, end string) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if from > 0 {
			Expect(r.Header.Get(idHeader)).To(HaveSuffix(fmt.Sprint(from - 1)))
		}
		for position := from; position < to; position++ {
			fmt.Fprintf(w, "id: id-%d\ndata: {\"choices\":[{\"token\":%d,\"position\":%d}]}\n\n", position, g.ExpectedTokens()[position], position)
		}
		fmt.Fprint(w, end)
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
			caller.Instances = append(caller.Instances, address(server))
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		return caller.Open(ctx, g).WaitAndCheck(ctx)
	}

	// Guards against a caller that starts over and so hides a lost position.
	It("continues at another instance with the last event id", func() {
		Expect(check(scripted(g, 0, 4, ""), scripted(g, 4, 10, done))).To(Succeed())
	})

	// Guards against a comparison that accepts a missing, repeated or foreign
	// token.
	It("rejects answers that differ", func() {
		Expect(check(scripted(g, 0, 9, done))).To(MatchError(ContainSubstring("9 of 10")))
		Expect(check(scripted(g, 0, 4, ""), scripted(g, 4, 4, ""), scripted(g, 4, 9, done))).NotTo(Succeed())
		other := g
		other.Seed = 2
		Expect(check(scripted(other, 0, 10, done))).To(MatchError(ContainSubstring("another token")))
	})
})
