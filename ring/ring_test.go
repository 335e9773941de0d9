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

var _ = Describe("Queue", func() {
	// Guards against an unbounded queue, a queue that blocks its sender, and
	// reordered messages.
	It("refuses a message without blocking when it is full, and keeps the order", func() {
		q := ring.New[int](2)
		Expect(q.TryPut(1)).To(BeTrue())
		Expect(q.TryPut(2)).To(BeTrue())
		Expect(q.TryPut(3)).To(BeFalse())
		Expect(q.Len()).To(Equal(2))
		Expect(<-q.C()).To(Equal(1))
		Expect(<-q.C()).To(Equal(2))
	})

	// Guards against a sender that blocks forever after its receiver has ended.
	It("gives up waiting for room when the context or the receiver ends", func() {
		q := ring.New[int](1)
		Expect(q.TryPut(1)).To(BeTrue())
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		Expect(q.Put(ctx, 2)).To(MatchError(context.Canceled))
		stopped := make(chan struct{})
		close(stopped)
		Expect(q.PutUntil(stopped, 2)).To(BeFalse())
		<-q.C()
		Expect(q.PutUntil(make(chan struct{}), 3)).To(BeTrue())
	})
})
