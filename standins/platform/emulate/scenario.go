// Package emulate runs scenarios of load and faults on real instances with the
// stand-in for the platform, and reports how many requests were served on time.
// The results of two runs can be compared.
package emulate

import (
	"errors"
	"fmt"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

const (
	// maxInstances, maxEngines and maxDuration bound a scenario to what one
	// machine can run.
	maxInstances = 64
	maxEngines   = 200
	maxDuration  = 10 * time.Minute
)

// Scenario describes a fleet, the load on it and the injected faults.
type Scenario struct {
	Name      string  `toml:"name"`
	Seed      uint64  `toml:"seed"`
	DurationS float64 `toml:"duration_s"`
	Instances int     `toml:"instances"`
	Engines   int     `toml:"engines"`
	// EngineSlots, EngineCapacityTokens and EngineStepMS describe each engine; see
	// world.EngineParameters.
	EngineSlots          int     `toml:"engine_slots"`
	EngineCapacityTokens int     `toml:"engine_capacity_tokens"`
	EngineStepMS         float64 `toml:"engine_step_ms"`
	Loads                []Load  `toml:"load"`
	Faults               []Fault `toml:"fault"`
}

// Load gives rates of requests for DurationS seconds from StartS on. The rates of
// loads that overlap add up.
type Load struct {
	StartS       float64 `toml:"at_s"`
	DurationS    float64 `toml:"for_s"` // 0: to the end of the scenario
	StreamsPerS  float64 `toml:"streams_per_s"`
	LookupsPerS  float64 `toml:"lookups_per_s"`
	OrdersPerS   float64 `toml:"orders_per_s"`
	PromptTokens int     `toml:"prompt_tokens"`
	OutputTokens int     `toml:"output_tokens"`
}

// Fault is a fault that is injected from outside the instances. FaultKinds lists
// the kinds.
type Fault struct {
	StartS    float64 `toml:"at_s"`
	DurationS float64 `toml:"for_s"` // ignored by kill_instance, kill_all and stop_instance
	Kind      string  `toml:"kind"`
	// TargetIndex is the index of the engine or instance, Domain the failure
	// domain; which one is used depends on the kind.
	TargetIndex int    `toml:"on"`
	Domain      string `toml:"domain"`
}

// ReadScenario reads and validates a scenario file. The error lists all findings.
func ReadScenario(path string) (Scenario, error) {
	s := Scenario{Instances: 3, Engines: 6, EngineSlots: 16, EngineCapacityTokens: 88000, EngineStepMS: 2.5, DurationS: 15}
	meta, err := toml.DecodeFile(path, &s)
	if err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	var findings []error
	for _, key := range meta.Undecoded() {
		findings = append(findings, fmt.Errorf("%s: %s is not a setting", path, key))
	}
	for _, finding := range s.validate() {
		findings = append(findings, fmt.Errorf("%s: %w", path, finding))
	}
	return s, errors.Join(findings...)
}

func (s Scenario) validate() []error {
	var findings []error
	require := func(ok bool, format string, arguments ...any) {
		if !ok {
			findings = append(findings, fmt.Errorf(format, arguments...))
		}
	}
	require(s.Name != "", "name is empty")
	require(s.duration() > 0 && s.duration() <= maxDuration, "duration_s is %g, not above 0 and at most %g", s.DurationS, maxDuration.Seconds())
	require(s.Instances >= 1 && s.Instances <= maxInstances, "instances is %d, not between 1 and %d", s.Instances, maxInstances)
	require(s.Engines >= 1 && s.Engines <= maxEngines, "engines is %d, not between 1 and %d", s.Engines, maxEngines)
	require(s.EngineSlots >= 1, "engine_slots is %d, below 1", s.EngineSlots)
	require(s.EngineStepMS > 0, "engine_step_ms is %g, not above 0", s.EngineStepMS)
	for i, l := range s.Loads {
		require(l.StartS >= 0 && l.DurationS >= 0, "load %d: at_s or for_s is negative", i+1)
		require(l.StreamsPerS >= 0 && l.LookupsPerS >= 0 && l.OrdersPerS >= 0, "load %d: streams_per_s, lookups_per_s or orders_per_s is negative", i+1)
		require(l.StreamsPerS == 0 || (l.PromptTokens > 0 && l.OutputTokens > 0), "load %d: streams need prompt_tokens and output_tokens", i+1)
		require(l.PromptTokens+l.OutputTokens <= s.EngineCapacityTokens, "load %d: prompt_tokens and output_tokens exceed engine_capacity_tokens", i+1)
	}
	for i, f := range s.Faults {
		_, known := faultInjectors[f.Kind]
		require(known, "fault %d: kind %q is none of %v", i+1, f.Kind, FaultKinds())
		require(f.StartS >= 0 && f.DurationS >= 0, "fault %d: at_s or for_s is negative", i+1)
		require(f.TargetIndex >= 0, "fault %d: on is %d, below 0", i+1, f.TargetIndex)
	}
	return findings
}

func (s Scenario) duration() time.Duration { return seconds(s.DurationS) }

func (s Scenario) engineParameters() world.EngineParameters {
	parameters := world.FastEngine
	parameters.Slots, parameters.QueueLength, parameters.CapacityTokens = s.EngineSlots, s.EngineSlots, s.EngineCapacityTokens
	parameters.StepTime = time.Duration(s.EngineStepMS * float64(time.Millisecond))
	return parameters
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
