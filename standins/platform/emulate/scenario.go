// Package emulate plays scenarios of load and faults on real instances before
// the platform's stand-in, and reports what callers got. Two results can be
// compared.
package emulate

import (
	"errors"
	"fmt"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

const (
	// mostInstances, mostEngines and longest keep a scenario within one machine.
	mostInstances = 64
	mostEngines   = 200
	longest       = 10 * time.Minute
)

// Scenario is a load and the faults that it meets.
type Scenario struct {
	Name      string  `toml:"name"`
	Seed      uint64  `toml:"seed"`
	Seconds   float64 `toml:"duration_s"`
	Instances int     `toml:"instances"`
	Engines   int     `toml:"engines"`
	// Slots and Capacity describe an engine; the capacity is in tokens.
	Slots    int     `toml:"engine_slots"`
	Capacity int     `toml:"engine_capacity_tokens"`
	StepMS   float64 `toml:"engine_step_ms"`
	Loads    []Load  `toml:"load"`
	Faults   []Fault `toml:"fault"`
}

// Load is a rate of requests over some time. Loads add up.
type Load struct {
	At      float64 `toml:"at_s"`
	For     float64 `toml:"for_s"` // 0 is to the end
	Streams float64 `toml:"streams_per_s"`
	Lookups float64 `toml:"lookups_per_s"`
	Orders  float64 `toml:"orders_per_s"`
	Prompt  int     `toml:"prompt_tokens"`
	Output  int     `toml:"output_tokens"`
}

// Fault is a disturbance from outside the instances; see FaultKinds.
type Fault struct {
	At   float64 `toml:"at_s"`
	For  float64 `toml:"for_s"`
	Kind string  `toml:"kind"`
	// On is the number of the engine or instance, or the failure domain.
	On     int    `toml:"on"`
	Domain string `toml:"domain"`
}

// ReadScenario reads and checks a scenario. All findings are reported together.
func ReadScenario(path string) (Scenario, error) {
	s := Scenario{Instances: 3, Engines: 6, Slots: 16, Capacity: 88000, StepMS: 2.5, Seconds: 15}
	meta, err := toml.DecodeFile(path, &s)
	if err != nil {
		return s, fmt.Errorf("%s: %w", path, err)
	}
	var findings []error
	for _, key := range meta.Undecoded() {
		findings = append(findings, fmt.Errorf("%s: %s is not a setting", path, key))
	}
	for _, finding := range s.check() {
		findings = append(findings, fmt.Errorf("%s: %w", path, finding))
	}
	return s, errors.Join(findings...)
}

func (s Scenario) check() []error {
	var findings []error
	finding := func(ok bool, format string, arguments ...any) {
		if !ok {
			findings = append(findings, fmt.Errorf(format, arguments...))
		}
	}
	finding(s.Name != "", "name is empty")
	finding(s.length() > 0 && s.length() <= longest, "duration_s is %g, not between 0 and %g", s.Seconds, longest.Seconds())
	finding(s.Instances >= 1 && s.Instances <= mostInstances, "instances is %d, not between 1 and %d", s.Instances, mostInstances)
	finding(s.Engines >= 1 && s.Engines <= mostEngines, "engines is %d, not between 1 and %d", s.Engines, mostEngines)
	finding(s.Slots >= 1, "engine_slots is %d, below 1", s.Slots)
	finding(s.StepMS > 0, "engine_step_ms is %g, not above 0", s.StepMS)
	for i, l := range s.Loads {
		finding(l.At >= 0 && l.For >= 0, "load %d: a time is negative", i+1)
		finding(l.Streams >= 0 && l.Lookups >= 0 && l.Orders >= 0, "load %d: a rate is negative", i+1)
		finding(l.Streams == 0 || (l.Prompt > 0 && l.Output > 0), "load %d: streams need prompt_tokens and output_tokens", i+1)
		finding(l.Prompt+l.Output <= s.Capacity, "load %d: a request is larger than engine_capacity_tokens", i+1)
	}
	for i, f := range s.Faults {
		_, known := faults[f.Kind]
		finding(known, "fault %d: kind %q is none of %v", i+1, f.Kind, FaultKinds())
		finding(f.At >= 0 && f.For >= 0, "fault %d: a time is negative", i+1)
		finding(f.On >= 0, "fault %d: on is %d, below 0", i+1, f.On)
	}
	return findings
}

func (s Scenario) length() time.Duration { return seconds(s.Seconds) }

func (s Scenario) model() world.EngineModel {
	model := world.FastEngine
	model.Slots, model.Queue, model.Capacity = s.Slots, s.Slots, s.Capacity
	model.Step = time.Duration(s.StepMS * float64(time.Millisecond))
	return model
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
