package forward_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A plain request with a prompt part that crashed engines", func() {
	lookup := func(f *fixture, ctx context.Context, parts string) int {
		response, err := f.call(ctx, http.MethodGet, "/lookup/x", nil, http.Header{headerParts: {parts}})
		if err != nil {
			return 0
		}
		_ = response.Body.Close()
		return response.StatusCode
	}

	// Guards against a hedged attempt that sends a deadly prompt to one more engine.
	It("is not sent to a second engine while it waits", func() {
		f := newFixture()
		f.applyTable(nil)
		f.startEndpoint("a", hang)
		f.startEndpoint("b", hang)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		go func() { _ = lookup(f, ctx, "first deadly") }()
		Eventually(f.received).Should(HaveLen(1))
		for i := range 3 {
			f.reportCrash(fmt.Sprint("e", i), "deadly")
		}
		Consistently(f.received, 800*time.Millisecond).Should(HaveLen(1))
	})

	// Guards against refusing a sound part that plain responses serve all the time.
	It("is not refused if the part is served between the crashes", func() {
		f := newFixture()
		f.applyTable(nil)
		f.startEndpoint("a", respond("done"))
		for i := range 4 {
			Expect(lookup(f, context.Background(), "house")).To(Equal(http.StatusOK), "after %d crashes", i)
			f.reportCrash(fmt.Sprint("e", i), "house")
		}
	})

	// Guards against a request whose attempts crash one engine after the other and count as
	// one crash, since all engines are in one failure domain.
	It("is refused when the attempts of one request have crashed engines of one failure domain", func() {
		f := newFixture()
		f.domain = "d"
		f.applyTable(nil)
		for i := range 6 {
			name := fmt.Sprint("e", i)
			f.startEndpoint(name, func(w http.ResponseWriter, r *http.Request) {
				f.refuseConnections(name)
				cutConnection("")(w, r)
			})
		}
		_ = lookup(f, context.Background(), "session")
		Eventually(f.received).Should(HaveLen(3))
		Eventually(func() int { return lookup(f, context.Background(), "session") }).Should(Equal(http.StatusUnprocessableEntity))
		Expect(f.received()).To(HaveLen(3))
	})
})
