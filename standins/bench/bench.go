package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/harness"
)

// sizes are the lengths of the scenarios.
type sizes struct {
	rounds      int // faults of each kind and variant
	streams     int // generations that run at a fault
	tokens      int
	faultAt     int
	orderTime   time.Duration
	ticketCount int
	loads       []float64 // offered load as multiple of the capacity
	loadTime    time.Duration
	nodes       []int
	controlTime time.Duration
	// baselineRounds is rounds for the baselines. A fixed timeout takes several
	// seconds for each fault, and all scenarios have 10 minutes.
	baselineRounds int

	modelNodes     []int
	modelTickets   int
	modelEngines   int
	modelAccounts  int
	modelFaultFree bool
	shareNodes     []int
	claimTime      time.Duration
	claimsAll      bool
}

var (
	fullSizes = sizes{
		rounds: 8, streams: 12, tokens: 200, faultAt: 50, orderTime: 6 * time.Second, ticketCount: 30,
		loads: []float64{0.5, 1, 2, 4}, loadTime: 8 * time.Second, nodes: []int{3, 6, 12},
		controlTime: 10 * time.Second, baselineRounds: 3,
		modelNodes: []int{8, 64, 330}, modelTickets: 5, modelEngines: 200, modelAccounts: 100,
		shareNodes: []int{8, 330}, claimTime: 300 * time.Millisecond, claimsAll: true,
	}
	quickSizes = sizes{
		rounds: 1, streams: 6, tokens: 120, faultAt: 30, orderTime: 1500 * time.Millisecond, ticketCount: 5,
		loads: []float64{4}, loadTime: 3 * time.Second, nodes: []int{3}, controlTime: 3 * time.Second,
		modelNodes: []int{8}, modelTickets: 5, modelEngines: 20, modelAccounts: 10, modelFaultFree: true,
		shareNodes: []int{8}, claimTime: 100 * time.Millisecond,
	}
)

// runner collects the results of all scenarios.
type runner struct {
	sizes
	log     io.Writer
	results []Result
}

// scenario is a part of the bench that stands alone.
type scenario struct {
	name string
	run  func(r *runner, ctx context.Context) error
}

// Run runs all scenarios, or those named, and returns the figures. A scenario
// that fails is reported in the error and leaves out its figures.
func Run(ctx context.Context, log io.Writer, quick bool, only []string) ([]Result, error) {
	r := &runner{sizes: fullSizes, log: log}
	if quick {
		r.sizes = quickSizes
	}
	var failed error
	for _, s := range scenarios {
		if !chosen(s.name, only) {
			continue
		}
		start := time.Now()
		if err := s.run(r, ctx); err != nil {
			fmt.Fprintf(log, "scenario %s failed: %v\n", s.name, err)
			failed = fmt.Errorf("scenario %s: %w", s.name, err)
			continue
		}
		fmt.Fprintf(log, "scenario %s: %s\n", s.name, time.Since(start).Round(time.Millisecond))
	}
	return r.results, failed
}

var scenarios = []scenario{
	{"recovery", (*runner).recovery},
	{"latency", (*runner).latency},
	{"orders", (*runner).orders},
	{"tickets", (*runner).tickets},
	{"overload", (*runner).overload},
	{"control", (*runner).control},
	{"cost", (*runner).cost},
	{"fleet-model", (*runner).fleetModel},
	{"serving-models", (*runner).servingModels},
	{"claim-writers", (*runner).claimWriters},
}

func chosen(name string, only []string) bool {
	for _, o := range only {
		if o == name {
			return true
		}
	}
	return len(only) == 0
}

func (r *runner) add(name, variant, unit string, value float64, n int) {
	r.results = append(r.results, Result{name, variant, unit, value, int64(n)})
}

// with runs a scenario on a fleet of its own with ticket 1 in force.
func with(ctx context.Context, instances, engines int, change func(*harness.Options), do func(*harness.Fleet, *harness.Caller) error) error {
	options, token := harness.SmallFleet("bench", instances, engines)
	if change != nil {
		change(&options)
	}
	fleet, err := harness.Start(ctx, options)
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := fleet.ApplyTicket(ctx, "instance-1", fleet.NextTicket()); err != nil {
		return err
	}
	return do(fleet, &harness.Caller{Token: token, Instances: fleet.CallerAddresses("instance-1")})
}

// argue adds arguments to every instance.
func argue(arguments ...string) func(*harness.Options) {
	return func(o *harness.Options) {
		for i := range o.Instances {
			o.Instances[i].Arguments = append(o.Instances[i].Arguments, arguments...)
		}
	}
}

// request returns a generation; n makes it different from others.
func request(n, tokens int) harness.Generation {
	return harness.Generation{
		Key: fmt.Sprintf("bench-%d", n), Model: harness.Model.Model, Version: harness.Model.Version,
		Prompt: fmt.Sprintf("dream %d of a stair", n), MaxTokens: tokens, Seed: int64(n),
	}
}
