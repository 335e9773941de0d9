package enginectl

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/hibiscusstair/hibiscusstair/api"
	_ "github.com/hibiscusstair/hibiscusstair/internal/testseed"
	"github.com/hibiscusstair/hibiscusstair/store/storetest"
)

// choiceSource makes the random choices of a scenario.
type choiceSource interface{ intn(n int) int }

type rapidChoices struct{ t *rapid.T }

func (c rapidChoices) intn(n int) int { return rapid.IntRange(0, n-1).Draw(c.t, "choice") }

type seededChoices struct{ *rand.Rand }

func (c seededChoices) intn(n int) int { return c.IntN(n) }

type simInstance struct {
	core    *Core
	starts  int // number of processes so far
	name    string
	actions []Action // not performed yet
	events  []Event  // not processed yet
}

type simEngine struct {
	endpoint api.Endpoint
	models   map[string]bool
	fence    uint64 // highest fencing token of a command
}

// inFlightCommand is a command that was sent and has not arrived yet.
type inFlightCommand struct {
	Command
	sender       *simInstance
	sentAt       time.Duration
	keepsReplica bool // result of scenario.keepsReplica when the command was sent
}

// scenario simulates instances, the store and engines. Every second engine checks
// fencing tokens.
type scenario struct {
	choices               choiceSource
	mutation              CoreOptions // core options with at most one mutation
	now                   time.Duration
	store                 *storetest.Store
	fault                 storetest.Fault // of the current store call
	instances             []*simInstance
	engines               map[api.EndpointID]*simEngine
	config                *api.Config
	inFlight              []*inFlightCommand
	highestUncheckedFence uint64 // highest fencing token applied by an engine that ignores tokens
	storedFence           uint64 // fencing token of the stored lease
	storedToken           string // token of the stored lease
	healed                bool   // faults have ended
	err                   error  // first violation
}

const simLeaseKey = "enginectl-lease"

func newScenario(choices choiceSource, mutation CoreOptions) *scenario {
	s := &scenario{choices: choices, mutation: mutation, store: storetest.New(), engines: make(map[api.EndpointID]*simEngine)}
	s.store.SetFaultHook(func(storetest.Call) storetest.Fault { return s.fault })
	for i := 0; i < 4; i++ {
		id := api.EndpointID(fmt.Sprint("e", i))
		e := api.Endpoint{ID: id, Kind: api.KindEngine, Half: "a", ChecksFence: i%2 == 0}
		s.engines[id] = &simEngine{endpoint: e, models: map[string]bool{}}
	}
	s.reconfigure()
	for i := 0; i < 3; i++ {
		n := &simInstance{name: fmt.Sprint("i", i)}
		s.instances = append(s.instances, n)
		s.start(n)
	}
	return s
}

func (s *scenario) start(n *simInstance) {
	n.starts++
	options := s.mutation
	options.Instance, options.Half, options.WeightLoadsPerMinute = api.InstanceID(n.name), "a", 600
	options.Token = fmt.Sprint(n.name, "-", n.starts)
	n.core, n.actions, n.events = NewCore(options), nil, nil
}

// reconfigure assigns one of two models to each engine, so that both are served.
func (s *scenario) reconfigure() {
	first := s.choices.intn(4)
	s.config = &api.Config{Endpoints: make(map[api.EndpointID]api.Endpoint)}
	for i := 0; i < 4; i++ {
		e := s.engines[api.EndpointID(fmt.Sprint("e", i))].endpoint
		e.Models = []api.ModelRef{{Model: "m1"}}
		if i == first {
			e.Models = []api.ModelRef{{Model: "m2"}}
		}
		s.config.Endpoints[e.ID] = e
	}
}

func (s *scenario) failf(format string, args ...any) {
	if s.err == nil {
		s.err = fmt.Errorf(format, args...)
	}
}

// simDelays are the delays between steps. 13 s is longer than takeoverWait; it is
// listed twice so that it is drawn more often.
var simDelays = []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second, 13 * time.Second, 13 * time.Second}

func (s *scenario) run(steps int) error {
	for i := 0; i < steps && s.err == nil; i++ {
		s.randomStep()
	}
	s.healAndCheckConvergence()
	return s.err
}

// randomStep performs a random step. The number of cases of a step is its weight.
func (s *scenario) randomStep() {
	n := s.instances[s.choices.intn(len(s.instances))]
	switch s.choices.intn(24) {
	case 0, 23:
		s.advanceTime(simDelays[s.choices.intn(len(simDelays))])
	case 1:
		s.start(n)
	case 2:
		s.reconfigure()
	case 3:
		s.store.SetFaultHook(nil)
		s.store.ApplyDeferredWrites()
		s.store.SetFaultHook(func(storetest.Call) storetest.Fault { return s.fault })
	case 4, 5:
		s.deliverRandomCommand()
	case 6, 7, 8:
		s.advanceTime(simDelays[s.choices.intn(4)])
	case 9, 10, 11, 12, 13, 14:
		s.runToIdle(n)
	case 15, 16, 17, 18:
		s.executeNextAction(n)
	default:
		s.step(n, Tick{Config: s.config})
	}
	s.checkStoredLease()
}

// advanceTime advances the simulated time. A command to an engine that ignores
// fencing tokens arrives within CommandTimeout; others may arrive at any time.
func (s *scenario) advanceTime(d time.Duration) {
	s.now += d
	for i := 0; i < len(s.inFlight); {
		m := s.inFlight[i]
		if !m.Endpoint.ChecksFence && s.now >= m.sentAt+CommandTimeout {
			s.deliverCommand(i)
			continue
		}
		i++
	}
}

func (s *scenario) step(n *simInstance, e Event) {
	n.actions = append(n.actions, n.core.Step(s.now, e)...)
}

// runToIdle steps an instance until no event or action is left.
func (s *scenario) runToIdle(n *simInstance) {
	s.step(n, Tick{Config: s.config})
	for len(n.actions)+len(n.events) > 0 && s.err == nil {
		s.handleNextEvent(n)
		s.executeNextAction(n)
	}
}

func (s *scenario) handleNextEvent(n *simInstance) {
	if len(n.events) > 0 {
		e := n.events[0]
		n.events = n.events[1:]
		s.step(n, e)
	}
}

func (s *scenario) executeNextAction(n *simInstance) {
	s.handleNextEvent(n)
	if len(n.actions) == 0 {
		return
	}
	action := n.actions[0]
	n.actions = n.actions[1:]
	s.fault = storetest.Fault{LoseResponse: s.oneIn(10), Defer: s.oneIn(20)}
	if event := s.execute(n, action); event != nil {
		n.events = append(n.events, event)
	}
	s.fault = storetest.Fault{}
}

func (s *scenario) execute(n *simInstance, action Action) Event {
	ctx := context.Background()
	switch a := action.(type) {
	case ReadLease:
		return readLease(ctx, s.store, simLeaseKey)
	case WriteLease:
		return writeLease(ctx, s.store, simLeaseKey, a)
	case FetchReport:
		e := s.engines[a.Endpoint.ID]
		models := []api.ModelRef{}
		for _, m := range []string{"m1", "m2"} {
			if e.models[m] {
				models = append(models, api.ModelRef{Model: m})
			}
		}
		return ReportFetched{Endpoint: a.Endpoint.ID, Models: models, AsOf: s.now, Failed: s.oneIn(10)}
	case Command:
		if s.now >= a.NotAfter {
			return CommandFinished{Endpoint: a.Endpoint.ID, Fence: a.Fence, Result: CommandNotSent}
		}
		s.inFlight = append(s.inFlight, &inFlightCommand{Command: a, sender: n, sentAt: s.now, keepsReplica: s.keepsReplica(a)})
		if s.healed {
			s.deliverCommand(len(s.inFlight) - 1)
		}
	}
	return nil
}

// keepsReplica reports whether a replica of the model remains: the command is no
// unload, or another engine has the model.
func (s *scenario) keepsReplica(a Command) bool {
	for id, e := range s.engines {
		if id != a.Endpoint.ID && e.models[a.Model.Model] {
			return true
		}
	}
	return a.Kind != KindUnload
}

func (s *scenario) deliverRandomCommand() {
	if len(s.inFlight) > 0 {
		s.deliverCommand(s.choices.intn(len(s.inFlight)))
	}
}

func (s *scenario) deliverCommand(i int) {
	m := s.inFlight[i]
	s.inFlight = slices.Delete(s.inFlight, i, i+1)
	result := s.apply(m)
	if s.oneIn(4) {
		result = CommandUnknown
	}
	m.sender.events = append(m.sender.events, CommandFinished{Endpoint: m.Endpoint.ID, Fence: m.Fence, Result: result})
}

// apply applies a command to its engine. It checks that commands take effect in
// the order of their fencing tokens and keep a replica of each model.
func (s *scenario) apply(m *inFlightCommand) CommandResult {
	e := s.engines[m.Endpoint.ID]
	if e.endpoint.ChecksFence && m.Fence < e.fence {
		return CommandStaleFence
	}
	e.fence = max(e.fence, m.Fence)
	if !e.endpoint.ChecksFence {
		if m.Fence < s.highestUncheckedFence {
			s.failf("a command with fencing token %d was applied after one with %d", m.Fence, s.highestUncheckedFence)
		}
		s.highestUncheckedFence = m.Fence
	}
	if !m.keepsReplica {
		s.failf("the last replica of %s was unloaded from %s", m.Model.Model, m.Endpoint.ID)
	}
	e.models[m.Model.Model] = m.Kind == KindLoad
	return CommandDone
}

// checkStoredLease checks that the stored fencing token never decreases, and that
// it increases with each new holder.
func (s *scenario) checkStoredLease() {
	s.store.SetFaultHook(nil)
	read := readLease(context.Background(), s.store, simLeaseKey)
	s.store.SetFaultHook(func(storetest.Call) storetest.Fault { return s.fault })
	if read.Lease.Fence < s.storedFence {
		s.failf("the stored fencing token decreased from %d to %d", s.storedFence, read.Lease.Fence)
	}
	if read.Lease.Token != s.storedToken && read.Lease.Fence == s.storedFence {
		s.failf("the stored fencing token did not increase with a new holder: %d", s.storedFence)
	}
	s.storedFence, s.storedToken = read.Lease.Fence, read.Lease.Token
}

// convergenceTicks is 150 s of 100 ms each: longer than takeoverWait and
// commandResendDelay together.
const convergenceTicks = 1500

// healAndCheckConvergence ends all faults and checks that the engines reach their
// desired state.
func (s *scenario) healAndCheckConvergence() {
	s.healed = true
	s.store.ApplyDeferredWrites()
	for len(s.inFlight) > 0 && s.err == nil {
		s.deliverCommand(0)
	}
	for i := 0; i < convergenceTicks && s.err == nil; i++ {
		s.advanceTime(100 * time.Millisecond)
		for _, n := range s.instances {
			s.runToIdle(n)
		}
	}
	for id, e := range s.engines {
		for _, m := range []string{"m1", "m2"} {
			if want := s.config.Endpoints[id].Serves(api.ModelRef{Model: m}); e.models[m] != want && s.err == nil {
				s.failf("engine %s did not reach its desired state: %s loaded is %v", id, m, e.models[m])
			}
		}
	}
}

// oneIn reports a random fault with probability 1/n; none after the faults have
// ended.
func (s *scenario) oneIn(n int) bool { return !s.healed && s.choices.intn(n) == 0 }

const simSteps = 150

// TestOnlyOneHolderCommandsEngines guards against commands of two holders that
// interleave on engines that ignore fencing tokens, a fencing token that
// decreases, the unload of a last replica, and engines that never reach their
// desired state. Instances pause past the end of the lease and restart, responses
// to renewals are lost, and renewals and commands take effect late.
func TestOnlyOneHolderCommandsEngines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := newScenario(rapidChoices{t}, CoreOptions{}).run(simSteps); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMutationsAreDetected guards against properties that hold for every core:
// each mutation has to violate the one that it breaks.
func TestMutationsAreDetected(t *testing.T) {
	const maxCases = 2000
	for _, mutation := range []struct {
		name      string
		options   CoreOptions
		violation string // part of the expected error
	}{
		{"ignoreExpiry", CoreOptions{ignoreExpiry: true}, "was applied after"},
		{"takeOverEarly", CoreOptions{takeOverEarly: true}, "was applied after"},
		{"resetFence", CoreOptions{resetFence: true}, "the stored fencing token"},
		{"unloadLast", CoreOptions{unloadLast: true}, "the last replica"},
	} {
		t.Run(mutation.name, func(t *testing.T) {
			detected := false
			for seed := uint64(0); seed < maxCases && !detected; seed++ {
				err := newScenario(seededChoices{rand.New(rand.NewPCG(seed, 1))}, mutation.options).run(simSteps)
				detected = err != nil && strings.Contains(err.Error(), mutation.violation)
			}
			NewWithT(t).Expect(detected).To(BeTrue(), "the mutation %s was not detected", mutation.name)
		})
	}
}
