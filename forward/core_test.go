package forward

import (
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestForward(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "forward")
}

var _ = Describe("eventReader", func() {
	all := func(text string) ([]event, error) {
		reader := newEventReader(strings.NewReader(text))
		var events []event
		for {
			next, err := reader.next()
			if err != nil {
				return events, err
			}
			events = append(events, next)
		}
	}

	It("returns whole events as they were sent", func() {
		events, err := all("id: 1\ndata: a\n\n: comment\nid:2\r\ndata: b\r\n\r\ndata: c\n\n")
		Expect(err).To(Equal(io.EOF))
		Expect(events).To(HaveLen(3))
		Expect(string(events[0].raw)).To(Equal("id: 1\ndata: a\n\n"))
		Expect(events[1].id).To(BeEquivalentTo(2))
		Expect(events[2].hasID).To(BeFalse())
	})

	// Guards against the delivery of an event that an engine was cut within.
	It("drops an event without its end and reports the cut", func() {
		events, err := all("id: 1\ndata: a\n\nid: 2\ndata: b\n")
		Expect(events).To(HaveLen(1))
		Expect(err).To(Equal(io.ErrUnexpectedEOF))
	})

	It("takes lines that are longer than its buffer, up to its bound", func() {
		events, err := all("id: 1\ndata: " + strings.Repeat("x", 20000) + "\n\n")
		Expect(err).To(Equal(io.EOF))
		Expect(events).To(HaveLen(1))
		_, err = all("data: " + strings.Repeat("x", maxEventBytes+1) + "\n\n")
		Expect(errors.Is(err, errEventTooLarge)).To(BeTrue())
	})
})

func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"))
	f.Add([]byte("id: 1\r\n\r\n\n\nid: x\n\n"))
	f.Add([]byte("data"))
	// The events that are returned are a prefix of the input, byte by byte.
	f.Fuzz(func(t *testing.T, input []byte) {
		reader := newEventReader(strings.NewReader(string(input)))
		var joined []byte
		for {
			next, err := reader.next()
			if err != nil {
				break
			}
			joined = append(joined, next.raw...)
		}
		if !strings.HasPrefix(string(input), string(joined)) {
			t.Fatalf("%q is not a prefix of %q", joined, input)
		}
	})
}

var _ = Describe("silence", func() {
	const target = 700 * time.Millisecond

	// play returns when the silence asks for probes and for the move.
	play := func(s *silence, until time.Duration) (probes []time.Duration, moved time.Duration) {
		for now := s.since; now <= until; {
			decision, next := s.next(now)
			switch decision {
			case verdictProbe:
				probes = append(probes, now)
			case verdictMove:
				return probes, now
			}
			now = max(next, now+time.Millisecond)
		}
		return probes, 0
	}

	// Guards against a stream that moves too late to be on time. The move, a new
	// connection between regions and the first event from a copy take 150 ms.
	It("moves a running stream with a copy before its pause is too long", func() {
		s := &silence{gap: target, started: true, hasCopy: true, since: time.Second}
		probes, moved := play(s, 5*time.Second)
		Expect(probes).NotTo(BeEmpty())
		Expect(moved - time.Second).To(BeNumerically("<=", target-150*time.Millisecond))
	})

	// Load: engines that read several prompts between the tokens of their runs,
	// and have no memory for copies. Guards against reading the prompt of a stream
	// again because its engine is slow, and against staying at a hung one.
	It("moves a running stream without a copy later, but probes it as often", func() {
		s := &silence{gap: target, firstEvent: 4500 * time.Millisecond, started: true, since: time.Second}
		probes, moved := play(s, 5*time.Second)
		Expect(len(probes)).To(BeNumerically(">", 5))
		Expect(moved - time.Second).To(BeNumerically(">", target))
		Expect(moved - time.Second).To(BeNumerically("<=", 2250*time.Millisecond))
	})

	// Guards against moving a request whose prompt is being read: another engine
	// would read it again.
	It("probes before the first event but waits for an engine that answers", func() {
		s := &silence{gap: target, firstEvent: 4500 * time.Millisecond, since: time.Second}
		probes, moved := play(s, 5500*time.Millisecond)
		Expect(len(probes)).To(BeNumerically(">", 5))
		Expect(moved).To(BeZero())
	})

	It("starts anew with every event", func() {
		s := &silence{gap: target, started: true, since: 0}
		_, _ = s.next(firstProbe)
		s.heard(300 * time.Millisecond)
		decision, at := s.next(301 * time.Millisecond)
		Expect(decision).To(Equal(verdictWait))
		Expect(at).To(Equal(300*time.Millisecond + firstProbe))
	})
})

var _ = Describe("Budget", func() {
	// Load: every request fails and asks for a repetition. Guards against
	// failures that multiply the load on a service.
	It("bounds the repetitions in any window", func() {
		budget := NewRetryBudget(RetryBudgetOptions{Ratio: 0.5, Baseline: 3, Window: 10 * time.Second})
		var repeats []time.Duration
		for i := range 6000 {
			now := time.Duration(i) * 10 * time.Millisecond
			budget.AddRequest(now, "s")
			if budget.TryRetry(now, "s") {
				repeats = append(repeats, now)
			}
		}
		const window = 10 * time.Second
		for from, first := 0, time.Duration(0); first < 50*time.Second; first += time.Second {
			for from < len(repeats) && repeats[from] < first {
				from++
			}
			count := 0
			for _, at := range repeats[from:] {
				if at < first+window {
					count++
				}
			}
			// Up to one part of the window is counted too little at its edge.
			Expect(count).To(BeNumerically("<=", 500*1.15+3))
		}
		Expect(len(repeats)).To(BeNumerically(">", 2500))
	})

	It("counts each service by itself and forgets after the window", func() {
		budget := NewRetryBudget(RetryBudgetOptions{Baseline: 1, Window: time.Second})
		Expect(budget.TryRetry(0, "a")).To(BeTrue())
		Expect(budget.TryRetry(0, "a")).To(BeFalse())
		Expect(budget.TryRetry(0, "b")).To(BeTrue())
		Expect(budget.TryRetry(2*time.Second, "a")).To(BeTrue())
	})
})
