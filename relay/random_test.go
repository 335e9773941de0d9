package relay_test

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/relay"
)

const (
	// dayLength is the length of a run in virtual time, after the fleet has settled.
	dayLength = 34 * time.Second
	// settleTime is how long the fleet runs before the day begins.
	settleTime = 5 * time.Second
	// checkInterval is the time between two checks of the rule.
	checkInterval = 10 * time.Millisecond
	// slowStoreDelay is how much longer a response of a slow store takes.
	slowStoreDelay = 240 * time.Millisecond
	// defaultInstances is the sum of the instances of all runs of a deployment without
	// FLEET_SEEDS.
	defaultInstances = 1200
)

// fault is a failure of some instances or of the store.
type fault struct {
	at, length time.Duration
	name       string
	nodes      []*worldNode
	begin, end func(ctx context.Context, n *worldNode) // n is nil for the store
}

// day is a random sequence of faults and changes of the configuration.
type day struct {
	world   *world
	random  *rand.Rand
	faults  []fault
	changes []time.Duration
}

// newDay draws a day. Faults crowd around a few moments, and changes around their edges.
func newDay(seed uint64, on deployment) *day {
	random := rand.New(rand.NewPCG(seed, 41))
	d := &day{random: random, world: newWorld(on, func(domain, i int) string {
		return fmt.Sprintf("front-%d-%d-%x", domain, i, random.Uint32())
	})}
	for range 2 + random.IntN(2) {
		moment := d.between(2*time.Second, dayLength-10*time.Second)
		for range 1 + random.IntN(3) {
			d.addFault(moment)
		}
	}
	for _, f := range d.faults {
		for _, edge := range []time.Duration{f.at, f.at + f.length} {
			for range 3 {
				d.changes = append(d.changes, edge+d.between(-500*time.Millisecond, 2500*time.Millisecond))
			}
		}
	}
	return d
}

func (d *day) between(from, to time.Duration) time.Duration {
	return from + time.Duration(d.random.Int64N(int64(to-from)))
}

// addFault adds a fault that begins at a moment or up to a second and a half later.
func (d *day) addFault(moment time.Duration) {
	f := fault{at: moment, length: d.between(500*time.Millisecond, 10*time.Second)}
	if d.random.IntN(2) == 0 {
		f.at += d.between(0, 1500*time.Millisecond)
	}
	state := d.lossState()
	w := d.world
	switch kind := d.random.IntN(10); {
	case kind < 2:
		f.name = fmt.Sprintf("store down (%d)", state)
		f.begin = func(context.Context, *worldNode) { w.change(func() { w.storePath.begin(state) }) }
		f.end = func(context.Context, *worldNode) { w.change(func() { w.storePath.end(state) }) }
	case kind < 3:
		f.name = "store slow"
		f.begin = func(context.Context, *worldNode) { w.change(func() { w.storeDelay += slowStoreDelay }) }
		f.end = func(context.Context, *worldNode) { w.change(func() { w.storeDelay -= slowStoreDelay }) }
	case kind < 6:
		f.name = fmt.Sprintf("store lost (%d)", state)
		f.nodes = d.someNodes()
		f.begin = func(_ context.Context, n *worldNode) { w.change(func() { n.storePath.begin(state) }) }
		f.end = func(_ context.Context, n *worldNode) { w.change(func() { n.storePath.end(state) }) }
	case kind < 8:
		state = max(state, pathResets) // nothing between instances refuses or breaks off
		f.name = fmt.Sprintf("cut off (%d)", state)
		f.nodes = d.someNodes()
		f.begin = func(_ context.Context, n *worldNode) { w.change(func() { n.peerPath.begin(state) }) }
		f.end = func(_ context.Context, n *worldNode) { w.change(func() { n.peerPath.end(state) }) }
	default:
		f.name = "killed"
		f.nodes = d.someNodes()
		joinDelay := d.between(20*time.Millisecond, 300*time.Millisecond)
		f.begin = func(_ context.Context, n *worldNode) { n.kill() }
		f.end = func(ctx context.Context, n *worldNode) { n.kill(); n.start(ctx, joinDelay) }
	}
	d.faults = append(d.faults, f)
}

// lossState draws what calls to a store that is lost get.
func (d *day) lossState() pathState {
	states := []pathState{pathRefuses, pathResets, pathSilent}
	if d.world.deployment.breaksOff {
		states = append(states, pathBreaks, pathBreaks, pathBreaks)
	}
	return states[d.random.IntN(len(states))]
}

// someNodes returns a random part of the instances, at least one.
func (d *day) someNodes() []*worldNode {
	nodes := d.world.nodes
	share := 0.1 + 0.6*d.random.Float64()
	var chosen []*worldNode
	for _, n := range nodes {
		if d.random.Float64() < share {
			chosen = append(chosen, n)
		}
	}
	if len(chosen) == 0 {
		chosen = append(chosen, nodes[d.random.IntN(len(nodes))])
	}
	return chosen
}

// play plays the day and returns the first break of the rule of each instance.
func (d *day) play(ctx context.Context) []lateInstance {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d.world.put()
	for _, n := range d.world.nodes {
		n.lossDelay, n.backDelay = d.between(2*time.Second, 4*time.Second), d.between(50*time.Millisecond, 1200*time.Millisecond)
		n.start(ctx, d.between(10*time.Millisecond, 100*time.Millisecond))
	}
	time.Sleep(settleTime)
	start := d.world.now()
	for _, f := range d.faults {
		time.AfterFunc(f.at, func() { f.apply(ctx, f.begin) })
		time.AfterFunc(f.at+f.length, func() { f.apply(ctx, f.end) })
	}
	for _, change := range d.changes {
		time.AfterFunc(max(0, change), d.world.put)
	}
	var late []lateInstance
	seen := make(map[string]bool)
	for d.world.now() < start+dayLength+settleTime {
		time.Sleep(checkInterval)
		for _, l := range d.world.check() {
			if key := string(l.instance); !seen[key] {
				seen[key] = true
				l.at -= start
				l.acked -= start
				late = append(late, l)
			}
		}
	}
	return late
}

// apply applies one end of a fault. An instance that ends its run does not come back.
func (f fault) apply(ctx context.Context, edge func(context.Context, *worldNode)) {
	if ctx.Err() != nil {
		return
	}
	if f.nodes == nil {
		edge(ctx, nil)
	}
	for _, n := range f.nodes {
		edge(ctx, n)
	}
}

// describe returns the faults of the day, a line each.
func (d *day) describe() string {
	var b strings.Builder
	for _, f := range d.faults {
		fmt.Fprintf(&b, "%v to %v: %s", f.at, f.at+f.length, f.name)
		for _, n := range f.nodes {
			fmt.Fprintf(&b, " %s", n.member.ID)
		}
		b.WriteByte('\n')
	}
	for _, n := range d.world.nodes {
		fmt.Fprintf(&b, "%s reads through %q\n", n.member.ID, relay.ParentOf(n.member, d.world.members(), func(api.Member) bool { return false }))
	}
	return b.String()
}

// virtualTime replaces the time of a line by that since the fleet has settled.
func (d *day) virtualTime(_ []string, a slog.Attr) slog.Attr {
	if a.Key == slog.TimeKey {
		return slog.String(slog.TimeKey, (d.world.now() - settleTime).Round(time.Millisecond).String())
	}
	return a
}

// seeds returns the seeds to play: those of FLEET_SEEDS, which is FIRST-LAST, or some and
// those that have broken the rule. One seed alone is played with the logs of the instances.
func seeds(t *testing.T, on deployment) []uint64 {
	first, last := uint64(1), uint64(defaultInstances/on.instances())
	var seeds []uint64
	if value := os.Getenv("FLEET_SEEDS"); value != "" {
		from, to, _ := strings.Cut(value, "-")
		var err1, err2 error
		first, err1 = strconv.ParseUint(from, 10, 64)
		last, err2 = strconv.ParseUint(to, 10, 64)
		if err1 != nil || err2 != nil {
			t.Fatalf("FLEET_SEEDS is %q, want FIRST-LAST", value)
		}
	} else {
		seeds = append(seeds, on.brokenSeeds...)
	}
	for seed := first; seed <= last; seed++ {
		seeds = append(seeds, seed)
	}
	slices.Sort(seeds)
	return slices.Compact(seeds)
}

var (
	// smallDeployment has three failure domains, one of them in another region.
	smallDeployment = deployment{
		name: "small", domains: []int{3, 3, 2}, activation: 2500 * time.Millisecond, contactTime: 3 * time.Second,
		// An instance does not ask a store that is back; it asks others one after the other
		// before the store; it goes on asking them after its own read has failed.
		brokenSeeds: []uint64{97, 445, 1828, 18060},
	}
	// breakingDeployment is a small one whose store may break responses off.
	breakingDeployment = deployment{
		name: "breaking", domains: []int{3, 3, 2}, activation: 2500 * time.Millisecond, contactTime: 3 * time.Second, breaksOff: true,
		// Documents that break off count as contact, at first and when read again at once.
		brokenSeeds: []uint64{709, 2413, 12897, 16745},
	}
	// grownDeployment has a reader for each of its regions.
	grownDeployment = deployment{
		name: "grown", domains: []int{12, 12, 12, 12, 12, 12}, activation: 4 * time.Second, contactTime: 4 * time.Second, regionReaders: true,
	}
)

// Guards against an instance in touch with the store that acts by an old configuration
// while paths, instances and the store fail in any order.
func TestInstancesInTouchActByTheNewestConfiguration(t *testing.T) {
	for _, on := range []deployment{smallDeployment, breakingDeployment, grownDeployment} {
		played := seeds(t, on)
		for _, seed := range played {
			t.Run(fmt.Sprintf("%s/%d", on.name, seed), func(t *testing.T) {
				t.Parallel()
				synctest.Test(t, func(t *testing.T) { playDay(t, newDay(seed, on), len(played) == 1) })
			})
		}
	}
}

// playDay fails the test if the rule is broken, and describes the day then.
func playDay(t *testing.T, d *day, logged bool) {
	if logged {
		d.world.log = slog.New(slog.NewTextHandler(t.Output(), &slog.HandlerOptions{ReplaceAttr: d.virtualTime}))
	}
	late := d.play(t.Context())
	for _, l := range late {
		t.Error(l)
	}
	if len(late) > 0 {
		t.Log(d.describe())
	}
	// Calls that are under way end.
	time.Sleep(time.Minute)
}
