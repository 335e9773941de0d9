// Package bench measures the recovery of generations and the latency, throughput and
// cost of instances that run as real processes, and the behaviour of models of
// larger fleets.
package bench

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/harness"
)

// scenarioSizes has the sizes and durations of the scenarios.
type scenarioSizes struct {
	rounds            int           // faults of each kind for each recovery mode
	streams           int           // generations that run when a fault of the recovery scenario is injected
	tokens            int           // of each generation of the recovery and latency scenarios
	tokensBeforeFault int           // tokens that every generation has delivered when a fault is injected
	orderDuration     time.Duration // for each number of callers
	ticketCount       int           // tickets that are submitted one after the other
	loadFactors       []float64     // offered load as a multiple of the engines' capacity
	overloadDuration  time.Duration // for each load factor
	fleetSizes        []int         // numbers of idle instances that are measured
	idleDuration      time.Duration // how long the usage of idle instances is measured
	// baselineRounds is the number of rounds for the baseline variants. It is lower
	// than rounds because a fixed timeout takes several seconds for each fault and
	// all scenarios together have to finish within 10 minutes.
	baselineRounds int

	modelFleetSizes     []int         // numbers of simulated instances in the fleet model
	modelTickets        int           // tickets of each run of the fleet model
	modelEngines        int           // engines in the configuration of the fleet model
	modelAccounts       int           // client accounts in the configuration of the fleet model
	modelWithoutFaults  bool          // leaves out the fleet model's runs with faults
	rateShareFleetSizes []int         // numbers of simulated instances that share a rate limit
	claimDuration       time.Duration // for each combination of options
	allClaimOptions     bool          // runs all combinations of options of the claim writers
}

var (
	fullScenarioSizes = scenarioSizes{
		rounds: 8, streams: 12, tokens: 200, tokensBeforeFault: 50, orderDuration: 6 * time.Second, ticketCount: 30,
		loadFactors: []float64{0.5, 1, 2, 4}, overloadDuration: 8 * time.Second, fleetSizes: []int{3, 6, 12},
		idleDuration: 10 * time.Second, baselineRounds: 3,
		modelFleetSizes: []int{8, 64, 330}, modelTickets: 5, modelEngines: 200, modelAccounts: 100,
		rateShareFleetSizes: []int{8, 330}, claimDuration: 300 * time.Millisecond, allClaimOptions: true,
	}
	quickScenarioSizes = scenarioSizes{
		rounds: 1, streams: 6, tokens: 120, tokensBeforeFault: 30, orderDuration: 1500 * time.Millisecond, ticketCount: 5,
		loadFactors: []float64{4}, overloadDuration: 3 * time.Second, fleetSizes: []int{3}, idleDuration: 3 * time.Second,
		modelFleetSizes: []int{8}, modelTickets: 5, modelEngines: 20, modelAccounts: 10, modelWithoutFaults: true,
		rateShareFleetSizes: []int{8}, claimDuration: 100 * time.Millisecond,
	}
)

// runner runs the scenarios and collects their results.
type runner struct {
	scenarioSizes
	log     io.Writer
	results []Result
}

// scenario is a part of the benchmark that can be run by itself.
type scenario struct {
	name string
	run  func(r *runner, ctx context.Context) error
}

// Run runs the selected scenarios, or all if none is selected, and returns their
// results. If a scenario fails, the others are run nevertheless, and the error is
// that of the last one that failed.
func Run(ctx context.Context, log io.Writer, quick bool, selected []string) ([]Result, error) {
	r := &runner{scenarioSizes: fullScenarioSizes, log: log}
	if quick {
		r.scenarioSizes = quickScenarioSizes
	}
	var runErr error
	for _, s := range scenarios {
		if !isSelected(s.name, selected) {
			continue
		}
		start := time.Now()
		if err := s.run(r, ctx); err != nil {
			fmt.Fprintf(log, "scenario %s failed: %v\n", s.name, err)
			runErr = fmt.Errorf("scenario %s: %w", s.name, err)
			continue
		}
		fmt.Fprintf(log, "scenario %s: %s\n", s.name, time.Since(start).Round(time.Millisecond))
	}
	return r.results, runErr
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

func isSelected(name string, selected []string) bool {
	for _, s := range selected {
		if s == name {
			return true
		}
	}
	return len(selected) == 0
}

// add appends a result; n is the number of samples behind the value or, for
// models, of simulated instances or requests.
func (r *runner) add(name, variant, unit string, value float64, n int) {
	r.results = append(r.results, Result{name, variant, unit, value, int64(n)})
}

// withFleet starts a fleet, applies ticket 1 and calls run. configure changes the
// options of the fleet; it may be nil.
func withFleet(ctx context.Context, instances, engines int, configure func(*harness.Options), run func(*harness.Fleet, *harness.Caller) error) error {
	options, token := harness.SmallFleet("bench", instances, engines)
	if configure != nil {
		configure(&options)
	}
	fleet, err := harness.Start(ctx, options)
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := fleet.ApplyTicket(ctx, "instance-1", fleet.NextTicket()); err != nil {
		return err
	}
	return run(fleet, &harness.Caller{Token: token, InstanceAddresses: fleet.CallerAddresses("instance-1")})
}

// addArguments returns a function that adds command line arguments to every
// instance in the options.
func addArguments(arguments ...string) func(*harness.Options) {
	return func(o *harness.Options) {
		for i := range o.Instances {
			o.Instances[i].Arguments = append(o.Instances[i].Arguments, arguments...)
		}
	}
}

// newGeneration returns a generation request whose key, prompt and seed depend on n.
func newGeneration(n, tokens int) harness.Generation {
	return harness.Generation{
		Key: fmt.Sprintf("bench-%d", n), Model: harness.Model.Model, Version: harness.Model.Version,
		Prompt: fmt.Sprintf("dream %d of a stair", n), MaxTokens: tokens, Seed: int64(n),
	}
}
