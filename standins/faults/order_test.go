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
	// pauseDuration is longer than the dispatch window and the grace period of a
	// resolution together.
	pauseDuration = 5 * time.Second
)

// orderReports has all responses that callers received about one order.
type orderReports struct {
	responses []harness.OrderResponse
	final     harness.OrderResponse // state after the workload
}

// allNotRun reports whether every response says that the order did not run.
func (r orderReports) allNotRun() bool {
	for _, response := range r.responses {
		if response.Run != reason.RunNo {
			return false
		}
	}
	return len(r.responses) > 0
}

// reportsState reports whether any response has the state.
func (r orderReports) reportsState(state string) bool {
	for _, response := range append(r.responses, r.final) {
		if response.State == state {
			return true
		}
	}
	return false
}

// orderWorkload sends orders and records the responses.
type orderWorkload struct {
	fleet   *testFleet
	mu      sync.Mutex
	reports map[string]*orderReports
}

// sendOrder sends order n one to three times, concurrently or one after the other,
// to random instances.
func (w *orderWorkload) sendOrder(random *rand.Rand, n int) {
	key := fmt.Sprintf("order-%d", n)
	instances := w.fleet.Instances()
	var all sync.WaitGroup
	for range 1 + random.IntN(3) {
		address := instances[random.IntN(len(instances))].CallerAddress
		call := func() {
			ctx, cancel := context.WithTimeout(w.fleet.ctx, 8*time.Second)
			defer cancel()
			response := w.fleet.caller.Order(ctx, address, key, harness.OrderBody(key))
			w.mu.Lock()
			defer w.mu.Unlock()
			w.reports[key].responses = append(w.reports[key].responses, response)
		}
		if random.IntN(2) == 0 {
			all.Go(call)
		} else {
			call()
		}
	}
	all.Wait()
}

// run sends all orders from concurrent callers.
func (w *orderWorkload) run() {
	var callers sync.WaitGroup
	for c := range orderCallers {
		callers.Go(func() {
			random := rand.New(rand.NewPCG(orderSeed, uint64(c)))
			for n := c; n < orderCount; n += orderCallers {
				w.sendOrder(random, n)
			}
		})
	}
	callers.Wait()
}

// waitForFinalStates polls the state of each order until it is final.
func (w *orderWorkload) waitForFinalStates() {
	GinkgoHelper()
	for key, r := range w.reports {
		Eventually(func() string {
			r.final = w.fleet.caller.OrderState(w.fleet.ctx, w.fleet.Instance("instance-1").CallerAddress, key)
			return r.final.State
		}).WithTimeout(specTimeout).WithPolling(200*time.Millisecond).Should(
			// Without a claim there is no state: every send failed before its claim
			// was written.
			BeElementOf("done", "not_run", "unknown", "rejected", ""), key)
	}
}

// checkReports compares the responses with the bookings of the service.
func (w *orderWorkload) checkReports() {
	GinkgoHelper()
	bookings, err := w.fleet.Bookings()
	Expect(err).NotTo(HaveOccurred())
	var bookedTwice, falselyNotRun, falselyDone []string
	done := 0
	for key, r := range w.reports {
		booked := bookings[harness.OrderBody(key)]
		if booked > 1 {
			bookedTwice = append(bookedTwice, key)
		}
		if booked > 0 && (r.reportsState("not_run") || r.allNotRun()) {
			falselyNotRun = append(falselyNotRun, key)
		}
		if booked == 0 && r.reportsState("done") {
			falselyDone = append(falselyDone, key)
		}
		if r.final.State == "done" {
			done++
		}
	}
	GinkgoWriter.Printf("orders: %d, booked: %d, reported as done: %d\n", len(w.reports), len(bookings), done)
	Expect(bookedTwice).To(BeEmpty(), "booked twice")
	Expect(falselyNotRun).To(BeEmpty(), "reported as not run but booked")
	Expect(falselyDone).To(BeEmpty(), "reported as done but not booked")
	Expect(done).To(BeNumerically(">", orderCount/4), "too few orders were done for the spec to show anything")
}

// newOrderWorkload returns a workload without any responses.
func newOrderWorkload(fleet *testFleet) *orderWorkload {
	w := &orderWorkload{fleet: fleet, reports: make(map[string]*orderReports)}
	for n := range orderCount {
		w.reports[fmt.Sprintf("order-%d", n)] = &orderReports{}
	}
	return w
}

// injectFaults injects one fault after the other until the context ends.
func injectFaults(ctx context.Context, f *testFleet) error {
	pause := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	faults := []func() error{
		func() error {
			return f.SetStoreFaults(f.ctx, store.Faults{WriteResponseLossRate: 0.2, Seed: orderSeed})
		},
		func() error { return f.KillInstance(f.ctx, "instance-2") },
		func() error { return f.StartInstance(f.ctx, f.Instance("instance-2").Spec) },
		func() error {
			f.Instance("instance-3").Pause()
			pause(pauseDuration)
			f.Instance("instance-3").Continue()
			return nil
		},
		func() error { return f.SetStoreFaults(f.ctx, store.Faults{Outage: true}) },
		func() error { return f.SetStoreFaults(f.ctx, store.Faults{LatencyMS: 300}) },
		func() error { return f.SetStoreFaults(f.ctx, store.Faults{Silent: true}) },
		func() error { return f.SetStoreFaults(f.ctx, store.Faults{}) },
	}
	for i := 0; ctx.Err() == nil; i++ {
		if err := faults[i%len(faults)](); err != nil {
			return err
		}
		pause(400 * time.Millisecond)
	}
	return nil
}

// endFaults ends all faults and waits until the fleet is ready.
func endFaults(f *testFleet) {
	GinkgoHelper()
	Expect(f.SetStoreFaults(f.ctx, store.Faults{})).To(Succeed())
	Expect(f.SetServiceFaults(f.ctx, "desk", service.Faults{})).To(Succeed())
	f.Instance("instance-3").Continue()
	if !f.Instance("instance-2").Alive() {
		Expect(f.StartInstance(f.ctx, f.Instance("instance-2").Spec)).To(Succeed())
	}
	Expect(f.WaitReady(f.ctx)).To(Succeed())
}

var _ = Describe("Orders", func() {
	for _, checksFence := range []bool{true, false} {
		// Guards against double bookings and wrong outcomes when orders are sent more
		// than once, processes are killed and paused, and the store is unavailable.
		It(fmt.Sprintf("run at most once and are reported correctly (service checks fencing tokens: %t)", checksFence), func() {
			f := startFleet(3, 1, func(o *harness.Options) {
				for i := range o.Endpoints {
					if o.Endpoints[i].Kind == api.KindService {
						o.Endpoints[i].ChecksFence = checksFence
					}
				}
			})
			Expect(f.SetServiceFaults(f.ctx, "desk", service.Faults{ResponseLossRate: 0.1, Seed: orderSeed, LatencyMS: 20})).To(Succeed())
			ctx, stop := context.WithCancel(f.ctx)
			injectErr := make(chan error, 1)
			go func() { injectErr <- injectFaults(ctx, f) }()
			w := newOrderWorkload(f)
			w.run()
			stop()
			Expect(<-injectErr).To(Succeed())
			endFaults(f)
			w.waitForFinalStates()
			w.checkReports()
		})
	}
})
