package limits

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusstair/hibiscusstair/api"
	_ "github.com/hibiscusstair/hibiscusstair/internal/testseed"
)

const testAccount = api.AccountID("a")

func configWith(rate float64, tokens int) *api.Config {
	return &api.Config{Accounts: map[api.AccountID]api.Account{
		testAccount: {ID: testAccount, RequestsPerSecond: rate, TokensInFlight: tokens},
	}}
}

// segment is five seconds of a constant demand pattern.
type segment struct {
	// offered is the number of requests at each instance per 100 ms.
	offered [6]int
	// isolated marks the instances without contact.
	isolated      [6]bool
	tokens        int // per request
	retries       int // requested per 100 ms
	oldVersionAge int // age of the version of a repeated delta, in milliseconds
}

var segments = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) segment {
	var s segment
	cut := rapid.IntRange(0, 2).Draw(t, "cut") == 0
	for i := range s.offered {
		s.offered[i] = rapid.IntRange(0, 6).Draw(t, "offered")
		s.isolated[i] = cut && rapid.Bool().Draw(t, "isolated")
	}
	s.tokens = rapid.IntRange(1, 50).Draw(t, "tokens")
	s.retries = rapid.IntRange(0, 5).Draw(t, "retries")
	s.oldVersionAge = rapid.IntRange(0, 20000).Draw(t, "old")
	return s
}), 2, 12)

// scenario is a fleet of six instances with one account. It counts what the
// instances admit, independently of them.
type scenario struct {
	cores      []*Core
	now        time.Duration
	nextID     uint64
	admitted   int
	retried    int
	admissions []simAdmission
	// maxAdmitted bounds admitted. Until uncertainUntil, instances without contact
	// and their peers may use the same part of the limit.
	maxAdmitted    float64
	uncertainUntil time.Duration
	versions       map[[2]int]uint64
}

type simAdmission struct {
	core int
	id   uint64
}

const (
	simAccountRate = 20.0
	simStart       = 100 * time.Second
)

func newScenario(m mutations) *scenario {
	// Each of the six instances may start with one request, and one second of the
	// limit may be saved up.
	sc := &scenario{now: simStart, maxAdmitted: simAccountRate + 6, versions: map[[2]int]uint64{}}
	for i := range 6 {
		core := NewCore(CoreOptions{Instance: instanceName(i), WallOffset: time.Hour, mutations: m})
		core.Step(sc.now, ConfigChanged{Config: configWith(simAccountRate, 4000)})
		core.Step(sc.now, FleetResized{Instances: 6})
		sc.cores = append(sc.cores, core)
	}
	return sc
}

func instanceName(i int) api.InstanceID { return api.InstanceID(fmt.Sprintf("i%d", i)) }

// simulate runs the segments and returns the first violated property.
func simulate(list []segment, m mutations) error {
	sc := newScenario(m)
	for _, s := range list {
		for step := range 50 {
			sc.now += 100 * time.Millisecond
			sc.addAllowance(s)
			sc.submitRequests(s)
			if step%10 == 9 {
				sc.exchange(s)
			}
			if err := sc.check(); err != nil {
				return err
			}
		}
	}
	return sc.checkDrained()
}

// addAllowance adds what the fleet may admit in one step. The tolerance covers
// the second that a change of the shares needs to reach all instances. An
// isolated instance continues with its last share, which its peers use too once
// its demand has expired there.
func (sc *scenario) addAllowance(s segment) {
	const tolerance = 1.3
	for _, isolated := range s.isolated {
		if isolated {
			sc.uncertainUntil = sc.now + minUsageTTL + contactTimeout
		}
	}
	perStep := simAccountRate / 10
	sc.maxAdmitted += tolerance * perStep
	if sc.now <= sc.uncertainUntil {
		sc.maxAdmitted += perStep
	}
}

func (sc *scenario) submitRequests(s segment) {
	for i, core := range sc.cores {
		core.Step(sc.now, Tick{})
		for range s.offered[i] {
			sc.nextID++
			request := api.AdmissionRequest{Account: testAccount, Priority: api.PriorityInteractive, Tokens: s.tokens}
			for _, action := range core.Step(sc.now, AdmissionRequested{ID: sc.nextID, Request: request}) {
				if _, ok := action.(RequestAdmitted); ok {
					sc.admitted++
					sc.admissions = append(sc.admissions, simAdmission{i, sc.nextID})
				}
			}
		}
		if i == 0 {
			sc.retry(core, s.retries)
		}
	}
	sc.release(len(sc.admissions) / 2)
}

func (sc *scenario) retry(core *Core, count int) {
	for range count {
		decision := core.Step(sc.now, RetryRequested{Priority: api.PriorityLookup})[0].(RetryDecided)
		if decision.Allowed {
			sc.retried++
		}
	}
}

func (sc *scenario) release(count int) {
	for _, a := range sc.admissions[:count] {
		sc.cores[a.core].Step(sc.now, AdmissionReleased{ID: a.id})
		sc.cores[a.core].Step(sc.now, AdmissionReleased{ID: a.id})
	}
	sc.admissions = sc.admissions[count:]
}

// exchange sends deltas between all instances in contact. An isolated instance
// sees all its peers fail, as the fleet would report.
func (sc *scenario) exchange(s segment) {
	for i, core := range sc.cores {
		if s.isolated[i] {
			core.Step(sc.now, FleetResized{Instances: 1})
			continue
		}
		core.Step(sc.now, FleetResized{Instances: 6})
		deltas := core.Collect(sc.now, atMost(100))
		for j, other := range sc.cores {
			if i != j && !s.isolated[j] {
				other.Step(sc.now, PeerUsageReceived{Usage: deltas})
				sc.redeliverOldUsage(other, deltas, s.oldVersionAge)
			}
		}
	}
}

// redeliverOldUsage delivers usage with an earlier version.
func (sc *scenario) redeliverOldUsage(core *Core, deltas []PeerUsage, age int) {
	for _, u := range deltas {
		u.Version -= uint64(min(age, 20000))
		u.Rate = 0
		core.Step(sc.now, PeerUsageReceived{Usage: []PeerUsage{u}})
	}
}

func (sc *scenario) check() error {
	elapsed := (sc.now - simStart).Seconds()
	if float64(sc.admitted) > sc.maxAdmitted {
		return fmt.Errorf("rate: %d requests admitted, at most %.0f allowed", sc.admitted, sc.maxAdmitted)
	}
	// The budget starts with 10 retries, and earns 0.1 per admitted request and 0.5
	// per second.
	if allowed := 10 + 0.1*float64(sc.admitted) + 0.5*elapsed; float64(sc.retried) > allowed {
		return fmt.Errorf("retries: %d retries, at most %.0f allowed", sc.retried, allowed)
	}
	for i, core := range sc.cores {
		for j := range sc.cores {
			if err := sc.checkVersion(core, i, j); err != nil {
				return err
			}
		}
	}
	return nil
}

func (sc *scenario) checkVersion(core *Core, i, j int) error {
	a, ok := core.accounts[testAccount]
	if !ok || a.peers[instanceName(j)] == nil {
		return nil
	}
	key := [2]int{i, j}
	version := a.peers[instanceName(j)].usage.Version
	if version < sc.versions[key] {
		return fmt.Errorf("versions: version of instance %d's usage at instance %d went back", j, i)
	}
	sc.versions[key] = version
	return nil
}

// checkDrained checks that no tokens are in flight after all releases.
func (sc *scenario) checkDrained() error {
	sc.release(len(sc.admissions))
	for i, core := range sc.cores {
		if a, ok := core.accounts[testAccount]; ok && a.tokensInFlight != 0 {
			return fmt.Errorf("tokens: %d tokens in flight at instance %d after all releases", a.tokensInFlight, i)
		}
	}
	return nil
}

// Guards against exceeding the limits over the whole fleet under any pattern of
// demand, loss of contact and repeated old deltas.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := simulate(segments.Draw(t, "segments"), mutations{}); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against property checks that detect nothing: each mutation has to
// violate its property.
func TestMutationsAreDetected(t *testing.T) {
	cases := []struct {
		property  string
		mutations mutations
	}{
		{"rate", mutations{takeWholeLimitWithoutContact: true}},
		{"rate", mutations{ignoreRate: true}},
		{"versions", mutations{acceptOldUsage: true}},
		{"retries", mutations{ignoreRetryBudget: true}},
		{"tokens", mutations{ignoreReleases: true}},
	}
	for _, c := range cases {
		if !detects(c.property, c.mutations) {
			t.Errorf("the property check does not detect the mutation %+v", c.mutations)
		}
	}
}

func detects(property string, m mutations) bool {
	for seed := range 100 {
		err := simulate(segments.Example(seed), m)
		if err != nil && len(err.Error()) > len(property) && err.Error()[:len(property)] == property {
			return true
		}
	}
	return false
}

// admittedShares returns the admitted shares of drafts and interactive requests while
// interactive requests wait for the given delays in milliseconds.
func admittedShares(delays []int, m mutations) (draft, interactive float64) {
	s := newLoadShedder()
	now := time.Second
	counts := map[api.Priority]int{}
	offered := 0
	for _, delay := range delays {
		now += adjustInterval
		s.update(now, QueueDelayMeasured{Interactive: time.Duration(delay) * time.Millisecond})
		for range 20 {
			offered++
			for _, priority := range []api.Priority{api.PriorityDraft, api.PriorityInteractive} {
				if !s.shouldRefuse(now, api.AdmissionRequest{Priority: priority}, m) {
					counts[priority]++
				}
			}
		}
	}
	total := float64(offered)
	return float64(counts[api.PriorityDraft]) / total, float64(counts[api.PriorityInteractive]) / total
}

var delays = rapid.SliceOfN(rapid.IntRange(0, 3000), 10, 200)

// Guards against shedding interactive requests before drafts, whatever the delays.
func TestDraftsAreShedFirst(t *testing.T) {
	const rounding = 0.01
	rapid.Check(t, func(t *rapid.T) {
		draft, interactive := admittedShares(delays.Draw(t, "delays"), mutations{})
		if draft > interactive+rounding {
			t.Fatalf("admitted share: %.3f of the drafts, %.3f of the interactive requests", draft, interactive)
		}
	})
	draft, interactive := admittedShares([]int{1000, 1000, 1000, 1000, 1000, 1000}, mutations{shedInteractiveFirst: true})
	if draft <= interactive+rounding {
		t.Fatal("the mutation shedInteractiveFirst was not detected")
	}
}
