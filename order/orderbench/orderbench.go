// Package orderbench measures the two ways to write claims: orders a second,
// latency, and store calls for each order, with whole runners against a store
// in memory and a service on loopback.
package orderbench

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/order"
	"github.com/hibiscusstair/hibiscusstair/store/storetest"
)

// Options describes one measurement.
type Options struct {
	Batch bool
	// Shards is the number of objects of the batching writer.
	Shards int
	// Instances share the store; the callers are divided among them.
	Instances int
	Callers   int
	// StoreLatency is added to each store call.
	StoreLatency time.Duration
	// Duration is how long callers send orders, one after the other.
	Duration time.Duration
	// ExistingOrders is the number of finished orders that the store has already.
	ExistingOrders int
}

// Result is the outcome of one measurement.
type Result struct {
	Options
	Orders          int64
	Failed          int64 // orders without a confirmed booking
	OrdersPerSecond float64
	P50             time.Duration
	P99             time.Duration
	// The following are for each order, outcome writes included.
	CallsPerOrder  float64
	WritesPerOrder float64
	BytesPerOrder  float64
	// OrdersAtWriteBudget is the number of orders a second for which a budget of
	// store.DefaultFleetWrites is enough.
	OrdersAtWriteBudget float64
}

// String returns the result as a line of a table.
func (r Result) String() string {
	writer := "single"
	if r.Batch {
		writer = fmt.Sprint("batch/", r.Shards)
	}
	return fmt.Sprintf("%-8s instances=%d callers=%-2d store=%-4s prefill=%-5d orders/s=%-7.0f p50=%-6.1fms p99=%-6.1fms calls/order=%-5.2f writes/order=%-5.2f KB/order=%-6.1f orders/s at the write budget=%-5.0f failed=%d",
		writer, r.Instances, r.Callers, r.StoreLatency, r.ExistingOrders, r.OrdersPerSecond, ms(r.P50), ms(r.P99),
		r.CallsPerOrder, r.WritesPerOrder, r.BytesPerOrder/1000, r.OrdersAtWriteBudget, r.Failed)
}

func ms(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

const (
	half  = "bench"
	token = "token"
	// drainTimeout bounds the wait for outcome writes after the measurement.
	drainTimeout = 30 * time.Second
	// maxLatency is the upper end of the histogram.
	maxLatency = time.Minute
)

// Run measures one combination.
func Run(ctx context.Context, o Options) (Result, error) {
	b := newBench(o)
	defer b.service.Close()
	if err := b.prefill(ctx); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := b.start(ctx); err != nil {
		return Result{}, err
	}
	defer b.runs.Wait()
	defer cancel()
	b.store.SetLatency(o.StoreLatency)
	callsBefore, writesBefore, bytesBefore := b.counts()
	elapsed := b.load()
	if err := b.drain(ctx); err != nil {
		return Result{}, err
	}
	calls, writes, bytes := b.counts()
	return b.result(elapsed, calls-callsBefore, writes-writesBefore, bytes-bytesBefore), nil
}

type bench struct {
	options Options
	store   *storetest.Store
	service *httptest.Server
	config  *api.Config
	runners []*order.Runner
	muxes   []*http.ServeMux
	runs    sync.WaitGroup

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	failed    atomic.Int64
}

func newBench(o Options) *bench {
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		httpapi.WriteJSON(w, http.StatusCreated, map[string]string{"receipt": "receipt-0123456789abcdef"})
	}))
	endpoint := api.Endpoint{ID: "service", Kind: api.KindService, Address: service.Listener.Addr().String(), Half: half}
	account := api.Account{ID: "account", Half: half, CredentialSHA256: httpapi.CredentialSHA256(token)}
	return &bench{
		options: o,
		store:   storetest.New(),
		service: service,
		config: &api.Config{
			Ticket:    1,
			Endpoints: map[api.EndpointID]api.Endpoint{endpoint.ID: endpoint},
			Accounts:  map[api.AccountID]api.Account{account.ID: account},
		},
		latencies: hdrhistogram.New(1, maxLatency.Microseconds(), 3),
	}
}

func (b *bench) start(ctx context.Context) error {
	for i := 0; i < b.options.Instances; i++ {
		runner, err := order.New(order.Options{
			Instance: api.InstanceID(fmt.Sprint("instance-", i)), Incarnation: 1, Half: half,
			Config: func() *api.Config { return b.config }, Store: b.store,
			Placer: fixedPlacer{b.config.Endpoints["service"]}, Admitter: openAdmitter{}, BatchClaims: b.options.Batch, BatchClaimShards: b.options.Shards,
		})
		if err != nil {
			return err
		}
		mux := http.NewServeMux()
		runner.Register(mux)
		b.runners = append(b.runners, runner)
		b.muxes = append(b.muxes, mux)
		b.runs.Go(func() { _ = runner.Run(ctx) })
	}
	return nil
}

// prefill writes finished orders, in parallel and without latency.
func (b *bench) prefill(ctx context.Context) error {
	const writers = 32
	claims := order.NewClaimStore(b.store)
	if b.options.Batch {
		claims = order.NewBatchClaimStore(b.store, b.options.Shards, time.Now)
	}
	var group sync.WaitGroup
	var failure atomic.Value
	for w := 0; w < writers; w++ {
		group.Go(func() {
			for i := w; i < b.options.ExistingOrders; i += writers {
				claim := order.Claim{
					Digest: strings.Repeat("d", 32), ClaimID: strings.Repeat("c", 26), Instance: "instance-0",
					Incarnation: 1, Endpoint: "service", State: order.StateDone, UnixMilli: time.Now().UnixMilli(),
					Receipt: []byte(`{"receipt":"receipt-0123456789abcdef"}`),
				}
				if _, err := claims.Create(ctx, order.DeriveID("account", fmt.Sprint("old-", i)), claim); err != nil {
					failure.Store(err)
				}
			}
		})
	}
	group.Wait()
	err, _ := failure.Load().(error)
	return err
}

func (b *bench) load() time.Duration {
	start := time.Now()
	var callers sync.WaitGroup
	for c := 0; c < b.options.Callers; c++ {
		callers.Go(func() {
			mux := b.muxes[c%len(b.muxes)]
			for n := 0; time.Since(start) < b.options.Duration; n++ {
				b.one(mux, fmt.Sprintf("key-%d-%d", c, n))
			}
		})
	}
	callers.Wait()
	return time.Since(start)
}

func (b *bench) one(mux *http.ServeMux, key string) {
	request := httptest.NewRequest(http.MethodPost, "/v1/orders", strings.NewReader(`{"pages":12}`))
	request.Header.Set("Authorization", "Bearer "+token)
	request.Header.Set("Idempotency-Key", key)
	recorder := httptest.NewRecorder()
	start := time.Now()
	mux.ServeHTTP(recorder, request)
	took := time.Since(start)
	if recorder.Code != http.StatusCreated {
		b.failed.Add(1)
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.latencies.RecordValue(min(took, maxLatency).Microseconds())
}

func (b *bench) drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	for _, runner := range b.runners {
		if err := runner.Drain(ctx); err != nil {
			return err
		}
	}
	return nil
}
