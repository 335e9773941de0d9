package ring_test

import (
	"context"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/ring"
)

func TestRing(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ring")
}

var _ = Describe("Ring", func() {
	// Guards against an unbounded queue between two duties.
	It("refuses a message when it is full and keeps the order", func() {
		r := ring.New[int](2)
		Expect(r.TryPut(1)).To(BeTrue())
		Expect(r.TryPut(2)).To(BeTrue())
		Expect(r.TryPut(3)).To(BeFalse())
		Expect(r.Len()).To(Equal(2))
		Expect(<-r.C()).To(Equal(1))
		Expect(<-r.C()).To(Equal(2))
	})

	// Guards against a sender that waits for good after its receiver has ended.
	It("gives up waiting for room when the context or the receiver ends", func() {
		r := ring.New[int](1)
		Expect(r.TryPut(1)).To(BeTrue())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(r.Put(ctx, 2)).To(MatchError(context.Canceled))
		stopped := make(chan struct{})
		close(stopped)
		Expect(r.PutUntil(stopped, 2)).To(BeFalse())
		<-r.C()
		Expect(r.PutUntil(make(chan struct{}), 3)).To(BeTrue())
	})
})
