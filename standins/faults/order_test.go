package faults_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/standins/harness"
	"github.com/hibiscusstair/hibiscusstair/standins/service"
	"github.com/hibiscusstair/hibiscusstair/standins/store"
)

const (
	orderSeed    = 20261204
	orderCallers = 6
	orderCount   = 120
	// freeze is longer than the dispatch window and the resolver's slack.
	freeze = 5 * time.Second
)

// told is everything that callers were told about one order.
type told struct {
	answers []harness.OrderResponse
	final   harness.OrderResponse
}

// allNotRun reports whether every send was refused as not run.
func (t told) allNotRun() bool {
	for _, answer := range t.answers {
		if answer.Run != reason.RunNo {
			return false
		}
	}
	return len(t.answers) > 0
}

func (t told) has(state string) bool {
	for _, answer := range append(t.answers, t.final) {
		if answer.State == state {
			return true
		}
	}
	return false
}

// desk sends orders and keeps what was told.
type desk struct {
	b    *bench
	mu   sync.Mutex
	told map[string]*told
}

// send places one order one to three times, at the same time or one after the
// other, at different instances.
func (d *desk) send(random *rand.Rand, n int) {
	key := fmt.Sprintf("order-%d", n)
	instances := d.b.Instances()
	var all sync.WaitGroup
	for range 1 + random.IntN(3) {
		address := instances[random.IntN(len(instances))].CallerAddress
		call := func() {
			ctx, cancel := context.WithTimeout(d.b.ctx, 8*time.Second)
			defer cancel()
			answer := d.b.caller.Order(ctx, address, key, harness.OrderBody(key))
			d.mu.Lock()
			defer d.mu.Unlock()
			d.told[key].answers = append(d.told[key].answers, answer)
		}
		if random.IntN(2) == 0 {
			all.Go(call)
		} else {
			call()
		}
	}
	all.Wait()
}

func (d *desk) run() {
	var callers sync.WaitGroup
	for c := range orderCallers {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(orderSeed, uint64(c)))
			for n := c; n < orderCount; n += orderCallers {
				d.send(random, n)
			}
		})
	}
	callers.Wait()
}

// settle asks for each order until its outcome is final.
func (d *desk) settle() {
	GinkgoHelper()
	for key, t := range d.told {
		Eventually(func() string {
			t.final = d.b.caller.OrderState(d.b.ctx, d.b.Instance("instance-1").CallerAddress, key)
			return t.final.State
		}).WithTimeout(hangBound).WithPolling(200*time.Millisecond).Should(
			// No record means that no send got as far as a claim.
			BeElementOf("done", "not_run", "unknown", "rejected", ""), key)
	}
}

// compare checks what was told against the book.
func (d *desk) compare() {
	GinkgoHelper()
	book, err := d.b.Bookings()
	Expect(err).NotTo(HaveOccurred())
	var twice, falselyNotRun, falselyDone []string
	done := 0
	for key, t := range d.told {
		booked := book[harness.OrderBody(key)]
		if booked > 1 {
			twice = append(twice, key)
		}
		if booked > 0 && (t.has("not_run") || t.allNotRun()) {
			falselyNotRun = append(falselyNotRun, key)
		}
		if booked == 0 && t.has("done") {
			falselyDone = append(falselyDone, key)
		}
		if t.final.State == "done" {
			done++
		}
	}
	GinkgoWriter.Printf("orders: %d, booked: %d, told done: %d\n", len(d.told), len(book), done)
	Expect(twice).To(BeEmpty(), "booked twice")
	Expect(falselyNotRun).To(BeEmpty(), "told not run but booked")
	Expect(falselyDone).To(BeEmpty(), "told done but not booked")
	Expect(done).To(BeNumerically(">", orderCount/4), "hardly any order got through, so the spec shows little")
}

// newDesk prepares the table of what is told.
func newDesk(b *bench) *desk {
	d := &desk{b: b, told: make(map[string]*told)}
	for n := range orderCount {
		d.told[fmt.Sprintf("order-%d", n)] = &told{}
	}
	return d
}

// disturb strikes with one fault after the other until the context ends.
func disturb(ctx context.Context, b *bench) error {
	pause := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	steps := []func() error{
		func() error {
			return b.SetStoreFaults(b.ctx, store.Faults{WriteResponseLossRate: 0.2, Seed: orderSeed})
		},
		func() error { return b.KillInstance(b.ctx, "instance-2") },
		func() error { return b.StartInstance(b.ctx, b.Instance("instance-2").Spec) },
		func() error {
			b.Instance("instance-3").Pause()
			pause(freeze)
			b.Instance("instance-3").Continue()
			return nil
		},
		func() error { return b.SetStoreFaults(b.ctx, store.Faults{Outage: true}) },
		func() error { return b.SetStoreFaults(b.ctx, store.Faults{LatencyMS: 300}) },
		func() error { return b.SetStoreFaults(b.ctx, store.Faults{Silent: true}) },
		func() error { return b.SetStoreFaults(b.ctx, store.Faults{}) },
	}
	for i := 0; ctx.Err() == nil; i++ {
		if err := steps[i%len(steps)](); err != nil {
			return err
		}
		pause(400 * time.Millisecond)
	}
	return nil
}

// heal ends all faults.
func heal(b *bench) {
	GinkgoHelper()
	Expect(b.SetStoreFaults(b.ctx, store.Faults{})).To(Succeed())
	Expect(b.SetServiceFaults(b.ctx, "desk", service.Faults{})).To(Succeed())
	b.Instance("instance-3").Continue()
	if !b.Instance("instance-2").Alive() {
		Expect(b.StartInstance(b.ctx, b.Instance("instance-2").Spec)).To(Succeed())
	}
	Expect(b.WaitReady(b.ctx)).To(Succeed())
}

var _ = Describe("Orders", func() {
	for _, fenced := range []bool{true, false} {
		// Guards against double bookings and wrong reports under duplicates,
		// kills, freezes and store outages.
		It(fmt.Sprintf("run at most once and are reported truly (service checks fences: %t)", fenced), func() {
			b := start(3, 1, func(o *harness.Options) {
				for i := range o.Endpoints {
					if o.Endpoints[i].Kind == api.KindService {
						o.Endpoints[i].ChecksFence = fenced
					}
				}
			})
			Expect(b.SetServiceFaults(b.ctx, "desk", service.Faults{ResponseLossRate: 0.1, Seed: orderSeed, LatencyMS: 20})).To(Succeed())
			ctx, stop := context.WithCancel(b.ctx)
			disturbed := make(chan error, 1)
			go func() { disturbed <- disturb(ctx, b) }()
			d := newDesk(b)
			d.run()
			stop()
			Expect(<-disturbed).To(Succeed())
			heal(b)
			d.settle()
			d.compare()
		})
	}
})
