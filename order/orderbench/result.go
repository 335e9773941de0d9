package orderbench

import (
	"context"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/store"
	"github.com/hibiscusstair/hibiscusstair/store/storetest"
)

// storeCounts returns the calls (get, list, put and delete), the writes (put and
// delete) and the value bytes of the store so far.
func (b *bench) storeCounts() (calls, writes int, bytes int64) {
	writes = b.store.CallCount(storetest.Put) + b.store.CallCount(storetest.Delete)
	return writes + b.store.CallCount(storetest.Get) + b.store.CallCount(storetest.List), writes, b.store.ValueBytes()
}

func (b *bench) result(elapsed time.Duration, calls, writes int, bytes int64) Result {
	orders := b.latencies.TotalCount()
	r := Result{
		Options:         b.options,
		Orders:          orders,
		Failed:          b.failed.Load(),
		OrdersPerSecond: float64(orders) / elapsed.Seconds(),
		LatencyP50:      time.Duration(b.latencies.ValueAtQuantile(50)) * time.Microsecond,
		LatencyP99:      time.Duration(b.latencies.ValueAtQuantile(99)) * time.Microsecond,
	}
	if orders > 0 && writes > 0 {
		r.StoreCallsPerOrder = float64(calls) / float64(orders)
		r.StoreWritesPerOrder = float64(writes) / float64(orders)
		r.StoreBytesPerOrder = float64(bytes) / float64(orders)
		r.OrdersPerSecondAtWriteLimit = store.DefaultFleetWritesPerSecond / r.StoreWritesPerOrder
	}
	return r
}

// RunAll measures both claim stores with store latencies of 2 and 20 ms: with 1, 8
// and 64 callers of one instance, then with 2 and 8 instances that share the
// claims, then with orders that exist at the start. It passes each result to
// report.
func RunAll(ctx context.Context, duration time.Duration, report func(Result)) error {
	for _, o := range measurements() {
		o.Duration = duration
		result, err := Run(ctx, o)
		if err != nil {
			return err
		}
		report(result)
	}
	return nil
}

const (
	manyShards = 64
	fewShards  = 4
	// existingOrderCount is the number of finished orders in the last measurement of
	// each store latency: about 30 KB in each of 64 shards.
	existingOrderCount = 6400
)

func measurements() []Options {
	var list []Options
	for _, latency := range []time.Duration{2 * time.Millisecond, 20 * time.Millisecond} {
		for _, callers := range []int{1, 8, 64} {
			list = append(list, withEachClaimStore(Options{Instances: 1, Callers: callers, StoreLatency: latency})...)
		}
		for _, instances := range []int{2, 8} {
			list = append(list, withEachClaimStore(Options{Instances: instances, Callers: 64, StoreLatency: latency})...)
		}
		list = append(list, withEachClaimStore(Options{Instances: 8, Callers: 64, StoreLatency: latency, ExistingOrders: existingOrderCount})...)
	}
	return list
}

// withEachClaimStore returns the measurement with one object per claim, with many
// shards and with few shards.
func withEachClaimStore(o Options) []Options {
	many, few := o, o
	many.BatchClaims, many.BatchClaimShards = true, manyShards
	few.BatchClaims, few.BatchClaimShards = true, fewShards
	return []Options{o, many, few}
}

// fixedPlacer grants the same endpoint for every request.
type fixedPlacer struct{ endpoint api.Endpoint }

func (p fixedPlacer) Place(context.Context, api.PlacementRequest) (api.Grant, error) {
	return api.Grant{Endpoint: p.endpoint}, nil
}
func (fixedPlacer) ReportProgress(uint64, int)  {}
func (fixedPlacer) Release(uint64, api.Outcome) {}

// admitAll admits every request.
type admitAll struct{}

func (admitAll) Admit(context.Context, api.AdmissionRequest) (api.Admission, error) {
	return api.Admission{}, nil
}
func (admitAll) Release(api.Admission)      {}
func (admitAll) TryRetry(api.Priority) bool { return true }
