package bench

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/harness"
)

// orders measures the throughput, the latency and the store calls of orders for
// several numbers of concurrent callers.
func (r *runner) orders(ctx context.Context) error {
	return withFleet(ctx, 3, 1, nil, func(f *harness.Fleet, c *harness.Caller) error {
		for _, callers := range []int{1, 8, 64} {
			if err := r.measureOrders(ctx, f, c, callers); err != nil {
				return err
			}
		}
		return nil
	})
}

// measureOrders lets each caller place one order after the other for orderDuration
// and adds the results.
func (r *runner) measureOrders(ctx context.Context, f *harness.Fleet, c *harness.Caller, callers int) error {
	before, err := f.StoreCallCounts(ctx)
	if err != nil {
		return err
	}
	var done, notDone, number atomic.Int64
	var mu sync.Mutex
	latency := newHistogram()
	var workers sync.WaitGroup
	start := time.Now()
	instances := f.Instances()
	for worker := range callers {
		workers.Go(func() {
			address := instances[worker%len(instances)].CallerAddress
			for time.Since(start) < r.orderDuration {
				key := fmt.Sprintf("order-%d-%d", callers, number.Add(1))
				sent := time.Now()
				if c.Order(ctx, address, key, harness.OrderBody(key)).State != "done" {
					notDone.Add(1)
					continue
				}
				done.Add(1)
				mu.Lock()
				latency.add(time.Since(sent))
				mu.Unlock()
			}
		})
	}
	workers.Wait()
	seconds := time.Since(start).Seconds()
	after, err := f.StoreCallCounts(ctx)
	if err != nil {
		return err
	}
	variant := fmt.Sprintf("%d callers", callers)
	n := int(done.Load())
	if n == 0 {
		return fmt.Errorf("%s: none of %d orders was done", variant, notDone.Load())
	}
	calls := 0
	for _, kind := range []string{"get", "put", "delete"} {
		calls += int(after[kind] - before[kind])
	}
	r.add("orders_per_second", variant, "1/s", float64(n)/seconds, n)
	r.add("order_store_calls", variant, "calls", float64(calls)/float64(n), n)
	// This is the share of all orders that were not done, for any reason.
	r.add("order_refused_share", variant, "share", float64(notDone.Load())/float64(int64(n)+notDone.Load()), n)
	r.results = append(r.results, latency.percentile("order_p99_ms", variant, 99))
	return nil
}
