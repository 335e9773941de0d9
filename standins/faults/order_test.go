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
	// resolution together, so that other instances resolve the claims of a paused
	// one.
	pauseDuration = 5 * time.Second
	// orderTimeout is how long a caller waits for the response to an order.
	orderTimeout = 8 * time.Second
	// faultInterval is the pause between two steps of injectFaults.
	faultInterval = 400 * time.Millisecond
	// minDoneOrders is the number of orders that have to be done for the spec to
	// show anything.
	minDoneOrders = orderCount / 4
)

// orderResponses has all responses that callers received about one order.
type orderResponses struct {
	responses []harness.OrderResponse
	final     harness.OrderResponse // state of the order after the workload
}

// allReportNotRun reports whether every response says that the order did not run.
func (r orderResponses) allReportNotRun() bool {
	for _, response := range r.responses {
		if response.Run != reason.RunNo {
			return false
		}
	}
	return len(r.responses) > 0
}

// hasState reports whether any response has the state.
func (r orderResponses) hasState(state string) bool {
	for _, response := range append(r.responses, r.final) {
		if response.State == state {
			return true
		}
	}
	return false
}

// orderWorkload sends orders and records the responses.
type orderWorkload struct {
	fleet     *testFleet
	mu        sync.Mutex
	responses map[string]*orderResponses
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
			ctx, cancel := context.WithTimeout(w.fleet.ctx, orderTimeout)
			defer cancel()
			response := w.fleet.caller.Order(ctx, address, key, harness.OrderBody(key))
			w.mu.Lock()
			defer w.mu.Unlock()
			w.responses[key].responses = append(w.responses[key].responses, response)
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

// waitForOutcomes polls the state of each order until the order has an outcome.
func (w *orderWorkload) waitForOutcomes() {
	GinkgoHelper()
	for key, r := range w.responses {
		Eventually(func() string {
			r.final = w.fleet.caller.OrderState(w.fleet.ctx, w.fleet.Instance("instance-1").CallerAddress, key)
			return r.final.State
		}).WithTimeout(specTimeout).WithPolling(200*time.Millisecond).Should(
			// An order has no state if no send of it wrote a claim.
			BeElementOf("done", "not_run", "unknown", "rejected", ""), key)
	}
}

// checkOutcomes compares the responses with the bookings of the service.
func (w *orderWorkload) checkOutcomes() {
	GinkgoHelper()
	bookings, err := w.fleet.Bookings()
	Expect(err).NotTo(HaveOccurred())
	var bookedTwice, falselyNotRun, falselyDone []string
	done := 0
	for key, r := range w.responses {
		booked := bookings[harness.OrderBody(key)]
		if booked > 1 {
			bookedTwice = append(bookedTwice, key)
		}
		if booked > 0 && (r.hasState("not_run") || r.allReportNotRun()) {
			falselyNotRun = append(falselyNotRun, key)
		}
		if booked == 0 && r.hasState("done") {
			falselyDone = append(falselyDone, key)
		}
		if r.final.State == "done" {
			done++
		}
	}
	GinkgoWriter.Printf("orders: %d, booked: %d, reported as done: %d\n", len(w.responses), len(bookings), done)
	Expect(bookedTwice).To(BeEmpty(), "booked twice")
	Expect(falselyNotRun).To(BeEmpty(), "reported as not run but booked")
	Expect(falselyDone).To(BeEmpty(), "reported as done but not booked")
	Expect(done).To(BeNumerically(">", minDoneOrders), "too few orders were done for the spec to show anything")
}

// newOrderWorkload returns a workload without any responses.
func newOrderWorkload(fleet *testFleet) *orderWorkload {
	w := &orderWorkload{fleet: fleet, responses: make(map[string]*orderResponses)}
	for n := range orderCount {
		w.responses[fmt.Sprintf("order-%d", n)] = &orderResponses{}
	}
	return w
}

// injectFaults cycles through steps that each inject a fault or end one, until the
// context ends.
func injectFaults(ctx context.Context, f *testFleet) error {
	wait := func(d time.Duration) {
		select {
		case <-ctx.Done():
		case <-time.After(d):
		}
	}
	steps := []func() error{
		func() error {
			return f.SetStoreFaults(f.ctx, store.Faults{WriteResponseLossRate: 0.2, Seed: orderSeed})
		},
		func() error { return f.KillInstance(f.ctx, "instance-2") },
		func() error { return f.StartInstance(f.ctx, f.Instance("instance-2").Spec) },
		func() error {
			f.Instance("instance-3").Pause()
			wait(pauseDuration)
			f.Instance("instance-3").Continue()
			return nil
		},
		func() error { return f.SetStoreFaults(f.ctx, store.Faults{Outage: true}) },
		func() error { return f.SetStoreFaults(f.ctx, store.Faults{LatencyMS: 300}) },
		func() error { return f.SetStoreFaults(f.ctx, store.Faults{Silent: true}) },
		func() error { return f.SetStoreFaults(f.ctx, store.Faults{}) },
	}
	for i := 0; ctx.Err() == nil; i++ {
		if err := steps[i%len(steps)](); err != nil {
			return err
		}
		wait(faultInterval)
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
			w.waitForOutcomes()
			w.checkOutcomes()
		})
	}
})
