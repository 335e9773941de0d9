package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/fleet"
	"github.com/hibiscusstair/hibiscusstair/fleetsim"
	_ "github.com/hibiscusstair/hibiscusstair/internal/testseed"
	"github.com/hibiscusstair/hibiscusstair/ticket"
)

const planInstances = 6

// step is one step of a plan.
type step struct {
	// Kind is one of
	//   - kill, restart, pause, resume: of the process of the node
	//   - pause_delisted: pause that also removes it from the platform's instance list
	//   - partition: moves it into another network partition
	//   - cut: separates it from the store
	//   - loss: loses 20% of all messages
	//   - heal: ends all partitions and cuts
	//   - ticket: submits a ticket to it
	//   - shift: only waits
	Kind string
	Node int // index of the instance
	// Wait is the time after the step, in tenths of a second; for shift in
	// hundredths.
	Wait int
}

// planGenerator generates random plans of faults.
func planGenerator() *rapid.Generator[[]step] {
	one := rapid.Custom(func(t *rapid.T) step {
		return step{
			Kind: rapid.SampledFrom([]string{"kill", "restart", "pause", "resume", "partition", "heal", "loss"}).Draw(t, "kind"),
			Node: rapid.IntRange(0, planInstances-1).Draw(t, "node"),
			Wait: rapid.SampledFrom([]int{0, 1, 10, 40, 100}).Draw(t, "wait"),
		}
	})
	return rapid.SliceOfN(one, 3, 12)
}

// scenario runs a plan on a simulated fleet and checks its properties.
type scenario struct {
	sim     *fleetsim.Sim
	current []*fleetsim.Node // the latest process of each instance

	failure error // the first violation
}

func newScenario(mutation func(*fleet.CoreOptions)) *scenario {
	o := fleetsim.DefaultOptions(planInstances)
	o.DomainsPerRegion, o.StartSpread = 1, 0
	o.Overrides.Fleet = mutation
	sc := &scenario{sim: fleetsim.New(o)}
	sc.current = append(sc.current, sc.sim.Nodes()...)
	sc.sim.RunUntil(time.Minute, sc.sim.Ready)
	sc.sim.AfterEvent(sc.check)
	return sc
}

// check runs after every event. It fails if an expelled instance accepts new work
// with a configuration that is older than the accepted one.
func (sc *scenario) check(*fleetsim.Node) {
	head := sc.sim.StoreHead()
	for _, n := range sc.current {
		if sc.failure != nil || !n.Running() || n.CheckServing() != nil {
			continue
		}
		if n.Config().Ticket < head.Accepted && !sc.sim.Registered(n.ID()) {
			sc.failure = fmt.Errorf("%s was expelled but accepts work with ticket %d; ticket %d is accepted\n%s",
				n.ID(), n.Config().Ticket, head.Accepted, n.Describe())
		}
	}
}

func (sc *scenario) do(s step) {
	n := sc.current[s.Node]
	switch s.Kind {
	case "kill":
		if !n.Killed() {
			sc.sim.Kill(n)
		}
	case "restart":
		if n.Killed() {
			sc.current[s.Node] = sc.sim.Restart(n)
		}
	case "pause":
		sc.sim.Pause(n)
	case "pause_delisted":
		sc.sim.Pause(n)
		sc.sim.Delist(n)
	case "resume":
		sc.sim.Resume(n)
	case "partition":
		sc.sim.SetPartition(n, 1)
	case "heal":
		sc.heal()
	case "cut":
		sc.sim.SetStoreUnreachable(n, true)
	case "loss":
		sc.sim.SetMessageLoss(0.2)
	case "ticket":
		number := sc.sim.StoreHead().Latest + 1
		t := &ticket.Ticket{Number: number, Endpoints: []api.Endpoint{fleetsim.Engine(0, "north")}}
		sc.sim.SubmitTicket(n, t, func(error) {})
	}
}

func (sc *scenario) heal() {
	for _, n := range sc.current {
		sc.sim.SetPartition(n, 0)
		sc.sim.SetStoreUnreachable(n, false)
	}
}

// run executes a plan, then ends all faults. It returns the first violation, or an
// error if the member tables do not converge afterwards.
func (sc *scenario) run(plan []step) error {
	for _, s := range plan {
		if s.Kind == "shift" {
			sc.sim.Run(time.Duration(s.Wait) * 10 * time.Millisecond)
			continue
		}
		sc.do(s)
		sc.sim.Run(time.Duration(s.Wait) * 100 * time.Millisecond)
	}
	sc.sim.SetMessageLoss(0)
	sc.heal()
	for i, n := range sc.current {
		sc.sim.Resume(n)
		if n.Killed() {
			sc.current[i] = sc.sim.Restart(n)
		}
	}
	converged := sc.sim.RunUntil(time.Minute, func() bool { return sc.failure != nil || sc.converged() })
	if sc.failure == nil && !converged {
		sc.failure = fmt.Errorf("the member tables have not converged within a minute")
		for _, n := range sc.current {
			sc.failure = fmt.Errorf("%w\n%s %+v", sc.failure, n.Describe(), n.Members())
		}
	}
	return sc.failure
}

// converged reports whether the table of every process contains exactly the
// current processes, alive and with their addresses.
func (sc *scenario) converged() bool {
	for _, n := range sc.current {
		alive := 0
		for _, m := range n.Members() {
			if m.State == api.MemberAlive && sc.isCurrent(m) {
				alive++
			} else if m.State.Reachable() {
				return false
			}
		}
		if alive != planInstances || n.CheckServing() != nil {
			return false
		}
	}
	return true
}

func (sc *scenario) isCurrent(m api.Member) bool {
	for _, n := range sc.current {
		if n.ID() == m.ID {
			return n.Address() == m.Address
		}
	}
	return false
}

// TestMembershipConverges checks that the member tables neither keep ended
// processes nor miss running ones after all faults have ended, and that no expelled
// instance accepts work with an outdated configuration.
func TestMembershipConverges(t *testing.T) {
	plans := planGenerator()
	rapid.Check(t, func(t *rapid.T) {
		if err := newScenario(nil).run(plans.Draw(t, "plan")); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMutationsAreDetected checks that the properties fail for each mutation of
// the core.
func TestMutationsAreDetected(t *testing.T) {
	// All instances of one failure domain pause, are expelled, and resume together.
	pausedDomain := []step{
		{Kind: "pause_delisted", Node: 0}, {Kind: "pause_delisted", Node: 3, Wait: 120},
		{Kind: "ticket", Node: 1, Wait: 40}, {Kind: "partition", Node: 0}, {Kind: "partition", Node: 3},
		{Kind: "cut", Node: 0}, {Kind: "cut", Node: 3}, {Kind: "resume", Node: 0}, {Kind: "resume", Node: 3, Wait: 20},
	}
	plans := map[string][][]step{
		"mergeWithoutIncarnation": {{{Kind: "kill", Node: 1, Wait: 100}, {Kind: "restart", Node: 1, Wait: 100}}},
		"confirmByAnyPeer":        {pausedDomain},
	}
	// The plans shift the start of the pause by 10 ms each, so that in one of
	// them a response is in flight when the pause begins.
	for shift := range 100 {
		plans["confirmAtReceipt"] = append(plans["confirmAtReceipt"], []step{
			{Kind: "shift", Wait: shift}, {Kind: "pause_delisted", Node: 0, Wait: 120}, {Kind: "ticket", Node: 1, Wait: 40},
			{Kind: "partition", Node: 0}, {Kind: "cut", Node: 0}, {Kind: "resume", Node: 0, Wait: 5},
		})
	}
	for name, mutation := range fleet.Mutations {
		t.Run(name, func(t *testing.T) {
			detected := false
			for _, plan := range plans[name] {
				if err := newScenario(nil).run(plan); err != nil {
					t.Fatalf("the unmodified core violates a property: %v", err)
				}
				detected = detected || newScenario(mutation).run(plan) != nil
			}
			if !detected {
				t.Fatal("no property detected the mutation")
			}
		})
	}
}

func drawMember(t *rapid.T, label string) api.Member {
	return api.Member{
		ID:          "a",
		Incarnation: rapid.Uint64Range(1, 3).Draw(t, label+" incarnation"),
		Version:     rapid.Uint64Range(0, 3).Draw(t, label+" version"),
		State:       api.MemberState(rapid.IntRange(int(api.MemberAlive), int(api.MemberExpelled)).Draw(t, label+" state")),
	}
}

// TestMergeRuleIsTotalOrder checks that instances which receive the same entries
// in different orders keep the same one.
func TestMergeRuleIsTotalOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawMember(t, "a"), drawMember(t, "b"), drawMember(t, "c")
		if a != b && fleet.Newer(a, b) == fleet.Newer(b, a) {
			t.Fatalf("neither or both of %+v and %+v replace the other", a, b)
		}
		if fleet.Newer(a, b) && fleet.Newer(b, c) && !fleet.Newer(a, c) {
			t.Fatalf("the merge rule is not transitive: %+v, %+v, %+v", a, b, c)
		}
	})
}
