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

type chooser interface{ intn(n int) int }

type rapidChooser struct{ t *rapid.T }

func (c rapidChooser) intn(n int) int { return rapid.IntRange(0, n-1).Draw(c.t, "choice") }

type seededChooser struct{ *rand.Rand }

func (c seededChooser) intn(n int) int { return c.IntN(n) }

type node struct {
	core    *Core
	starts  int
	name    string
	pending []Action
	inbox   []Event
}

type simEngine struct {
	endpoint api.Endpoint
	models   map[string]bool
	fence    uint64
}

type command struct {
	Command
	node   *node
	sentAt time.Duration
	safe   bool // an unload that left another replica when it was sent
}

// world is a simulation of instances, the store and engines, half of which
// check fencing numbers.
type world struct {
	choose   chooser
	variant  CoreOptions
	now      time.Duration
	store    *storetest.Store
	fault    storetest.Fault
	nodes    []*node
	engines  map[api.EndpointID]*simEngine
	config   *api.Config
	network  []*command
	maxFence uint64 // highest fencing number of a command that was applied
	stored   uint64 // fencing number of the stored lease
	holder   string // token of the stored lease
	healed   bool
	err      error
}

const simLease = "enginectl-lease"

func newWorld(choose chooser, variant CoreOptions) *world {
	w := &world{choose: choose, variant: variant, store: storetest.New(), engines: make(map[api.EndpointID]*simEngine)}
	w.store.SetFaultHook(func(storetest.Call) storetest.Fault { return w.fault })
	for i := 0; i < 4; i++ {
		id := api.EndpointID(fmt.Sprint("e", i))
		e := api.Endpoint{ID: id, Kind: api.KindEngine, Half: "a", ChecksFence: i%2 == 0}
		w.engines[id] = &simEngine{endpoint: e, models: map[string]bool{}}
	}
	w.reconfigure()
	for i := 0; i < 3; i++ {
		n := &node{name: fmt.Sprint("i", i)}
		w.nodes = append(w.nodes, n)
		w.start(n)
	}
	return w
}

func (w *world) start(n *node) {
	n.starts++
	options := w.variant
	options.Instance, options.Half, options.LoadsPerMinute = api.InstanceID(n.name), "a", 600
	options.Token = fmt.Sprint(n.name, "-", n.starts)
	n.core, n.pending, n.inbox = NewCore(options), nil, nil
}

// reconfigure gives every engine one of two models. Both stay in service.
func (w *world) reconfigure() {
	first := w.choose.intn(4)
	w.config = &api.Config{Endpoints: make(map[api.EndpointID]api.Endpoint)}
	for i := 0; i < 4; i++ {
		e := w.engines[api.EndpointID(fmt.Sprint("e", i))].endpoint
		e.Models = []api.ModelRef{{Model: "m1"}}
		if i == first {
			e.Models = []api.ModelRef{{Model: "m2"}}
		}
		w.config.Endpoints[e.ID] = e
	}
}

func (w *world) failf(format string, args ...any) {
	if w.err == nil {
		w.err = fmt.Errorf(format, args...)
	}
}

var simDelays = []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond, time.Second, 3 * time.Second, 13 * time.Second, 13 * time.Second}

func (w *world) run(steps int) error {
	for i := 0; i < steps && w.err == nil; i++ {
		w.randomStep()
	}
	w.settle()
	return w.err
}

func (w *world) randomStep() {
	n := w.nodes[w.choose.intn(len(w.nodes))]
	switch w.choose.intn(24) {
	case 0, 23:
		w.pass(simDelays[w.choose.intn(len(simDelays))])
	case 1:
		w.start(n)
	case 2:
		w.reconfigure()
	case 3:
		w.store.SetFaultHook(nil)
		w.store.ApplyDeferredWrites()
		w.store.SetFaultHook(func(storetest.Call) storetest.Fault { return w.fault })
	case 4, 5:
		w.deliverOne()
	case 6, 7, 8:
		w.pass(simDelays[w.choose.intn(4)])
	case 9, 10, 11, 12, 13, 14:
		w.settleNode(n)
	case 15, 16, 17, 18:
		w.executeOne(n)
	default:
		w.step(n, Tick{Config: w.config})
	}
	w.checkStored()
}

// pass lets time pass. A command to an engine that ignores fencing numbers
// arrives within LongestSend; others may be under way for any time.
func (w *world) pass(d time.Duration) {
	w.now += d
	for i := 0; i < len(w.network); {
		m := w.network[i]
		if !m.Endpoint.ChecksFence && w.now >= m.sentAt+CommandTimeout {
			w.deliver(i)
			continue
		}
		i++
	}
}

func (w *world) step(n *node, e Event) {
	n.pending = append(n.pending, n.core.Step(w.now, e)...)
}

func (w *world) settleNode(n *node) {
	w.step(n, Tick{Config: w.config})
	for len(n.pending)+len(n.inbox) > 0 && w.err == nil {
		w.handle(n)
		w.executeOne(n)
	}
}

func (w *world) handle(n *node) {
	if len(n.inbox) > 0 {
		e := n.inbox[0]
		n.inbox = n.inbox[1:]
		w.step(n, e)
	}
}

func (w *world) executeOne(n *node) {
	w.handle(n)
	if len(n.pending) == 0 {
		return
	}
	action := n.pending[0]
	n.pending = n.pending[1:]
	w.fault = storetest.Fault{LoseResponse: w.oneIn(10), Defer: w.oneIn(20)}
	if event := w.execute(n, action); event != nil {
		n.inbox = append(n.inbox, event)
	}
	w.fault = storetest.Fault{}
}

func (w *world) execute(n *node, action Action) Event {
	ctx := context.Background()
	switch a := action.(type) {
	case ReadLease:
		return readLease(ctx, w.store, simLease)
	case WriteLease:
		return writeLease(ctx, w.store, simLease, a)
	case Observe:
		e := w.engines[a.Endpoint.ID]
		models := []api.ModelRef{}
		for _, m := range []string{"m1", "m2"} {
			if e.models[m] {
				models = append(models, api.ModelRef{Model: m})
			}
		}
		return Observed{Endpoint: a.Endpoint.ID, Models: models, AsOf: w.now, Failed: w.oneIn(10)}
	case Command:
		if w.now >= a.NotAfter {
			return CommandFinished{Endpoint: a.Endpoint.ID, Fence: a.Fence, Result: CommandSkipped}
		}
		w.network = append(w.network, &command{Command: a, node: n, sentAt: w.now, safe: w.safeUnload(a)})
		if w.healed {
			w.deliver(len(w.network) - 1)
		}
	}
	return nil
}

// safeUnload reports whether another engine has the model.
func (w *world) safeUnload(a Command) bool {
	for id, e := range w.engines {
		if id != a.Endpoint.ID && e.models[a.Model.Model] {
			return true
		}
	}
	return a.Kind != KindUnload
}

func (w *world) deliverOne() {
	if len(w.network) > 0 {
		w.deliver(w.choose.intn(len(w.network)))
	}
}

func (w *world) deliver(i int) {
	m := w.network[i]
	w.network = slices.Delete(w.network, i, i+1)
	result := w.apply(m)
	if w.oneIn(4) {
		result = CommandUnknown
	}
	m.node.inbox = append(m.node.inbox, CommandFinished{Endpoint: m.Endpoint.ID, Fence: m.Fence, Result: result})
}

// apply checks that commands take effect in the order of their holders.
func (w *world) apply(m *command) CommandResult {
	e := w.engines[m.Endpoint.ID]
	if e.endpoint.ChecksFence && m.Fence < e.fence {
		return CommandStaleFence
	}
	e.fence = max(e.fence, m.Fence)
	if !e.endpoint.ChecksFence {
		if m.Fence < w.maxFence {
			w.failf("a command with fence %d was applied after one with %d", m.Fence, w.maxFence)
		}
		w.maxFence = m.Fence
	}
	if !m.safe {
		w.failf("the last replica of %s was unloaded from %s", m.Model.Model, m.Endpoint.ID)
	}
	e.models[m.Model.Model] = m.Kind == KindLoad
	return CommandDone
}

func (w *world) checkStored() {
	w.store.SetFaultHook(nil)
	read := readLease(context.Background(), w.store, simLease)
	w.store.SetFaultHook(func(storetest.Call) storetest.Fault { return w.fault })
	if read.Lease.Fence < w.stored {
		w.failf("the stored fence fell from %d to %d", w.stored, read.Lease.Fence)
	}
	if read.Lease.Token != w.holder && read.Lease.Fence == w.stored {
		w.failf("the stored fence did not grow with a new holder: %d", w.stored)
	}
	w.stored, w.holder = read.Lease.Fence, read.Lease.Token
}

// settle heals everything and checks that the engines reach the desired state.
func (w *world) settle() {
	w.healed = true
	w.store.ApplyDeferredWrites()
	for len(w.network) > 0 && w.err == nil {
		w.deliver(0)
	}
	for i := 0; i < 1500 && w.err == nil; i++ {
		w.pass(100 * time.Millisecond)
		for _, n := range w.nodes {
			w.settleNode(n)
		}
	}
	for id, e := range w.engines {
		for _, m := range []string{"m1", "m2"} {
			if want := w.config.Endpoints[id].Serves(api.ModelRef{Model: m}); e.models[m] != want && w.err == nil {
				w.failf("engine %s did not reach its desired state: %s loaded is %v", id, m, e.models[m])
			}
		}
	}
}

func (w *world) oneIn(n int) bool { return !w.healed && w.choose.intn(n) == 0 }

const simSteps = 150

// Guards against two effective holders on engines that ignore fencing numbers,
// a fencing number that falls, an unload of a last replica, and engines that
// never reach the desired state; under pauses past the lease's end, lost and
// late renewals, restarts and late commands.
func TestLeaseHasOneEffectiveHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := newWorld(rapidChooser{t}, CoreOptions{}).run(simSteps); err != nil {
			t.Fatal(err)
		}
	})
}

// Shows that the property notices each fault that it guards against.
func TestLeasePropertyNoticesFaults(t *testing.T) {
	const maxCases = 2000
	for _, fault := range []struct {
		name    string
		variant CoreOptions
		notice  string
	}{
		{"ignoreExpiry", CoreOptions{ignoreExpiry: true}, "was applied after"},
		{"takeoverEarly", CoreOptions{takeoverEarly: true}, "was applied after"},
		{"resetFence", CoreOptions{resetFence: true}, "the stored fence"},
		{"unloadLast", CoreOptions{unloadLast: true}, "the last replica"},
	} {
		t.Run(fault.name, func(t *testing.T) {
			noticed := false
			for seed := uint64(0); seed < maxCases && !noticed; seed++ {
				err := newWorld(seededChooser{rand.New(rand.NewPCG(seed, 1))}, fault.variant).run(simSteps)
				noticed = err != nil && strings.Contains(err.Error(), fault.notice)
			}
			NewWithT(t).Expect(noticed).To(BeTrue(), "the property does not notice %s", fault.name)
		})
	}
}
