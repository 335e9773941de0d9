// Package orderbench compares the two claim stores of package order: orders per
// second, latency, and store calls per order. It runs complete order runners against
// an in-memory store and a service on the loopback interface.
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
	BatchClaims bool
	// BatchClaimShards is the number of objects of the batch claim store.
	BatchClaimShards int
	// Instances is the number of runners. They share the store, and the callers are
	// divided among them.
	Instances int
	Callers   int
	// StoreLatency is added to each store call.
	StoreLatency time.Duration
	// Duration is how long each caller sends orders, one after the other.
	Duration time.Duration
	// ExistingOrders is the number of finished orders in the store at the start.
	ExistingOrders int
}

// Result is the outcome of one measurement.
type Result struct {
	Options
	Orders          int64 // orders with a confirmed booking
	Failed          int64 // orders without a confirmed booking
	OrdersPerSecond float64
	LatencyP50      time.Duration
	LatencyP99      time.Duration
	// The following include the writes of outcomes.
	StoreCallsPerOrder  float64
	StoreWritesPerOrder float64
	StoreBytesPerOrder  float64
	// OrdersPerSecondAtWriteLimit is the rate of orders at which the writes of all
	// instances reach store.DefaultFleetWritesPerSecond.
	OrdersPerSecondAtWriteLimit float64
}

// String returns the result as a line of a table.
func (r Result) String() string {
	format := "single"
	if r.BatchClaims {
		format = fmt.Sprint("batch/", r.BatchClaimShards)
	}
	return fmt.Sprintf("%-8s instances=%d callers=%-2d store=%-4s existing=%-5d orders/s=%-7.0f p50=%-6.1fms p99=%-6.1fms calls/order=%-5.2f writes/order=%-5.2f KB/order=%-6.1f orders/s at the write limit=%-5.0f failed=%d",
		format, r.Instances, r.Callers, r.StoreLatency, r.ExistingOrders, r.OrdersPerSecond, milliseconds(r.LatencyP50), milliseconds(r.LatencyP99),
		r.StoreCallsPerOrder, r.StoreWritesPerOrder, r.StoreBytesPerOrder/1000, r.OrdersPerSecondAtWriteLimit, r.Failed)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

const (
	half       = "bench"
	credential = "token"
	// drainTimeout bounds the wait for the writes of outcomes after the measurement.
	drainTimeout = 30 * time.Second
	// maxLatency is the upper bound of the histogram. Longer latencies count as this
	// one.
	maxLatency = time.Minute
)

// Run performs one measurement.
func Run(ctx context.Context, o Options) (Result, error) {
	b := newBench(o)
	defer b.service.Close()
	if err := b.createExistingOrders(ctx); err != nil {
		return Result{}, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if err := b.start(ctx); err != nil {
		return Result{}, err
	}
	defer b.runnerGroup.Wait()
	defer cancel()
	b.store.SetLatency(o.StoreLatency)
	callsBefore, writesBefore, bytesBefore := b.storeCounts()
	elapsed := b.runCallers()
	if err := b.drain(ctx); err != nil {
		return Result{}, err
	}
	calls, writes, bytes := b.storeCounts()
	return b.result(elapsed, calls-callsBefore, writes-writesBefore, bytes-bytesBefore), nil
}

type bench struct {
	options     Options
	store       *storetest.Store
	service     *httptest.Server
	config      *api.Config
	runners     []*order.Runner
	muxes       []*http.ServeMux
	runnerGroup sync.WaitGroup

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram
	failed    atomic.Int64
}

func newBench(o Options) *bench {
	service := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		httpapi.WriteJSON(w, http.StatusCreated, map[string]string{"receipt": "receipt-0123456789abcdef"})
	}))
	endpoint := api.Endpoint{ID: "service", Kind: api.KindService, Address: service.Listener.Addr().String(), Half: half}
	account := api.Account{ID: "account", Half: half, CredentialSHA256: httpapi.CredentialSHA256(credential)}
	return &bench{
		options: o,
		store:   storetest.New(),
		service: service,
		config: &api.Config{
			Ticket:    1,
			Endpoints: map[api.EndpointID]api.Endpoint{endpoint.ID: endpoint},
			Accounts:  map[api.AccountID]api.Account{account.ID: account},
		},
		latencies: hdrhistogram.New(1, maxLatency.Microseconds(), 3), // in microseconds, 3 significant digits
	}
}

func (b *bench) start(ctx context.Context) error {
	for i := 0; i < b.options.Instances; i++ {
		runner, err := order.New(order.Options{
			Instance: api.InstanceID(fmt.Sprint("instance-", i)), Incarnation: 1, Half: half,
			Config: func() *api.Config { return b.config }, Store: b.store,
			Placer: fixedPlacer{b.config.Endpoints["service"]}, Admitter: admitAll{}, BatchClaims: b.options.BatchClaims, BatchClaimShards: b.options.BatchClaimShards,
		})
		if err != nil {
			return err
		}
		mux := http.NewServeMux()
		runner.Register(mux)
		b.runners = append(b.runners, runner)
		b.muxes = append(b.muxes, mux)
		b.runnerGroup.Go(func() { _ = runner.Run(ctx) })
	}
	return nil
}

// createExistingOrders writes finished orders, in parallel and before the store
// latency is set.
func (b *bench) createExistingOrders(ctx context.Context) error {
	const writers = 32
	claims := order.NewClaimStore(b.store)
	if b.options.BatchClaims {
		claims = order.NewBatchClaimStore(b.store, b.options.BatchClaimShards, time.Now)
	}
	var group sync.WaitGroup
	var failure atomic.Value
	for writer := 0; writer < writers; writer++ {
		group.Go(func() {
			for i := writer; i < b.options.ExistingOrders; i += writers {
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

// runCallers lets all callers send orders for the duration of the measurement and
// returns the elapsed time.
func (b *bench) runCallers() time.Duration {
	start := time.Now()
	var callers sync.WaitGroup
	for c := 0; c < b.options.Callers; c++ {
		callers.Go(func() {
			mux := b.muxes[c%len(b.muxes)]
			for n := 0; time.Since(start) < b.options.Duration; n++ {
				b.sendOrder(mux, fmt.Sprintf("key-%d-%d", c, n))
			}
		})
	}
	callers.Wait()
	return time.Since(start)
}

// sendOrder sends one order and records its latency, or counts it as failed.
func (b *bench) sendOrder(mux *http.ServeMux, key string) {
	request := httptest.NewRequest(http.MethodPost, "/v1/orders", strings.NewReader(`{"pages":12}`))
	request.Header.Set("Authorization", "Bearer "+credential)
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
