package orderbench

import (
	"context"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/store"
	"github.com/hibiscusstair/hibiscusstair/store/storetest"
)

func (b *bench) counts() (calls, writes int, bytes int64) {
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
		P50:             time.Duration(b.latencies.ValueAtQuantile(50)) * time.Microsecond,
		P99:             time.Duration(b.latencies.ValueAtQuantile(99)) * time.Microsecond,
	}
	if orders > 0 && writes > 0 {
		r.CallsPerOrder = float64(calls) / float64(orders)
		r.WritesPerOrder = float64(writes) / float64(orders)
		r.BytesPerOrder = float64(bytes) / float64(orders)
		r.OrdersAtWriteBudget = store.DefaultFleetWritesPerSecond / r.WritesPerOrder
	}
	return r
}

// RunAll measures the writers at 1, 8 and 64 callers with store latencies of 2 and
// 20 ms, then with 2 and 8 instances on the same shards, and passes each result
// to report.
func RunAll(ctx context.Context, duration time.Duration, report func(Result)) error {
	for _, o := range combinations() {
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
	// prefill is the number of finished orders of the last measurements, about
	// 30 KB in each of 64 shards.
	prefill = 6400
)

func combinations() []Options {
	var list []Options
	for _, latency := range []time.Duration{2 * time.Millisecond, 20 * time.Millisecond} {
		for _, callers := range []int{1, 8, 64} {
			list = append(list, writers(Options{Instances: 1, Callers: callers, StoreLatency: latency})...)
		}
		for _, instances := range []int{2, 8} {
			list = append(list, writers(Options{Instances: instances, Callers: 64, StoreLatency: latency})...)
		}
		list = append(list, writers(Options{Instances: 8, Callers: 64, StoreLatency: latency, ExistingOrders: prefill})...)
	}
	return list
}

// writers returns the measurement for each writer.
func writers(o Options) []Options {
	many, few := o, o
	many.Batch, many.Shards = true, manyShards
	few.Batch, few.Shards = true, fewShards
	return []Options{o, many, few}
}

// fixedPlacer grants the only service.
type fixedPlacer struct{ endpoint api.Endpoint }

func (p fixedPlacer) Place(context.Context, api.PlacementRequest) (api.Grant, error) {
	return api.Grant{Endpoint: p.endpoint}, nil
}
func (fixedPlacer) ReportProgress(uint64, int)  {}
func (fixedPlacer) Release(uint64, api.Outcome) {}

// openAdmitter admits everything.
type openAdmitter struct{}

func (openAdmitter) Admit(context.Context, api.AdmissionRequest) (api.Admission, error) {
	return api.Admission{}, nil
}
func (openAdmitter) Release(api.Admission)      {}
func (openAdmitter) TryRetry(api.Priority) bool { return true }
