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
	readAll := func(text string) ([]event, error) {
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

	// Guards against events that are changed or split on the way to the caller.
	It("returns complete events byte for byte", func() {
		events, err := readAll("id: 1\ndata: a\n\n: comment\nid:2\r\ndata: b\r\n\r\ndata: c\n\n")
		Expect(err).To(Equal(io.EOF))
		Expect(events).To(HaveLen(3))
		Expect(string(events[0].raw)).To(Equal("id: 1\ndata: a\n\n"))
		Expect(events[1].id).To(BeEquivalentTo(2))
		Expect(events[2].hasID).To(BeFalse())
	})

	// Guards against forwarding an event that is incomplete because the
	// engine's connection broke.
	It("drops an event without its terminating blank line and reports the truncation", func() {
		events, err := readAll("id: 1\ndata: a\n\nid: 2\ndata: b\n")
		Expect(events).To(HaveLen(1))
		Expect(err).To(Equal(io.ErrUnexpectedEOF))
	})

	// Guards against events that are cut at the size of the read buffer, and against
	// unbounded memory for one event.
	It("accepts lines longer than its buffer, up to the maximum event size", func() {
		events, err := readAll("id: 1\ndata: " + strings.Repeat("x", 20000) + "\n\n")
		Expect(err).To(Equal(io.EOF))
		Expect(events).To(HaveLen(1))
		_, err = readAll("data: " + strings.Repeat("x", maxEventBytes+1) + "\n\n")
		Expect(errors.Is(err, errEventTooLarge)).To(BeTrue())
	})
})

func FuzzEventReader(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"))
	f.Add([]byte("id: 1\r\n\r\n\n\nid: x\n\n"))
	f.Add([]byte("data"))
	// The concatenated events have to be a prefix of the input, byte for byte.
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

var _ = Describe("stallDetector", func() {
	const target = 700 * time.Millisecond

	// simulate returns the times at which the detector asks for probes and for
	// the failover, 0 if there is none.
	simulate := func(d *stallDetector, until time.Duration) (probes []time.Duration, failedOver time.Duration) {
		for now := d.silentSince; now <= until; {
			decision, next := d.nextAction(now)
			switch decision {
			case actionProbe:
				probes = append(probes, now)
			case actionFailOver:
				return probes, now
			}
			now = max(next, now+time.Millisecond)
		}
		return probes, 0
	}

	// Guards against a failover that is too late for the target event gap. The
	// failover takes 150 ms: a new connection between regions and the first
	// event from a backup.
	It("fails over a running stream with a backup before its event gap exceeds the target", func() {
		d := &stallDetector{targetEventGap: target, prefilled: true, hasBackup: true, silentSince: time.Second}
		probes, failedOver := simulate(d, 5*time.Second)
		Expect(probes).NotTo(BeEmpty())
		Expect(failedOver - time.Second).To(BeNumerically("<=", target-150*time.Millisecond))
	})

	// The engines prefill several prompts between the tokens of their requests
	// and have no memory for backups. Guards against repeating the prefill of a
	// stream because its engine is slow, and against staying at a hung engine.
	It("fails over a running stream without a backup later, and probes it until then", func() {
		d := &stallDetector{targetEventGap: target, targetLatency: 4500 * time.Millisecond, prefilled: true, silentSince: time.Second}
		probes, failedOver := simulate(d, 5*time.Second)
		Expect(len(probes)).To(BeNumerically(">", 5))
		Expect(failedOver - time.Second).To(BeNumerically(">", target))
		Expect(failedOver - time.Second).To(BeNumerically("<=", 2250*time.Millisecond))
	})

	// Guards against a failover of a request during its prefill: another engine
	// would have to repeat it.
	It("probes before the first event but waits for an engine that accepts connections", func() {
		d := &stallDetector{targetEventGap: target, targetLatency: 4500 * time.Millisecond, silentSince: time.Second}
		probes, failedOver := simulate(d, 5500*time.Millisecond)
		Expect(len(probes)).To(BeNumerically(">", 5))
		Expect(failedOver).To(BeZero())
	})

	// Guards against a failover of a stream whose engine sends events.
	It("resets with every event", func() {
		d := &stallDetector{targetEventGap: target, prefilled: true, silentSince: 0}
		_, _ = d.nextAction(firstProbeDelay)
		d.recordEvent(300 * time.Millisecond)
		decision, at := d.nextAction(301 * time.Millisecond)
		Expect(decision).To(Equal(actionWait))
		Expect(at).To(Equal(300*time.Millisecond + firstProbeDelay))
	})
})

var _ = Describe("RetryBudget", func() {
	// Every request fails and asks for a retry. Guards against failures that
	// multiply the load on a service.
	It("bounds the retries in any window", func() {
		budget := NewRetryBudget(RetryBudgetOptions{Ratio: 0.5, Baseline: 3, Window: 10 * time.Second})
		var retries []time.Duration
		for i := range 6000 {
			now := time.Duration(i) * 10 * time.Millisecond
			budget.AddRequest(now, "s")
			if budget.TryRetry(now, "s") {
				retries = append(retries, now)
			}
		}
		const window = 10 * time.Second
		for from, first := 0, time.Duration(0); first < 50*time.Second; first += time.Second {
			for from < len(retries) && retries[from] < first {
				from++
			}
			count := 0
			for _, at := range retries[from:] {
				if at < first+window {
					count++
				}
			}
			// At the edge of the window up to one bucket is not counted.
			Expect(count).To(BeNumerically("<=", 500*1.15+3))
		}
		Expect(len(retries)).To(BeNumerically(">", 2500))
	})

	// Guards against failures of one service that use up the retries of another.
	It("counts each service separately and drops retries that are older than the window", func() {
		budget := NewRetryBudget(RetryBudgetOptions{Baseline: 1, Window: time.Second})
		Expect(budget.TryRetry(0, "a")).To(BeTrue())
		Expect(budget.TryRetry(0, "a")).To(BeFalse())
		Expect(budget.TryRetry(0, "b")).To(BeTrue())
		Expect(budget.TryRetry(2*time.Second, "a")).To(BeTrue())
	})
})
