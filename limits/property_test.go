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

// segment is five seconds of one pattern of demand.
type segment struct {
	// offered has the requests of each instance per 100 ms.
	offered [6]int
	// isolated marks the instances without contact.
	isolated      [6]bool
	tokens        int
	retries       int
	oldVersionAge int
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

// simulation is a small fleet with one account and an own count of what it admits.
type simulation struct {
	cores    []*Core
	now      time.Duration
	nextID   uint64
	admitted int
	retried  int
	held     []heldAdmission
	// maxAdmitted is the bound on admitted; unsure is until when instances without
	// contact and their peers may use the same part of the limit.
	maxAdmitted    float64
	uncertainUntil time.Duration
	versions       map[[2]int]uint64
}

type heldAdmission struct {
	core int
	id   uint64
}

const (
	simAccountRate = 20.0
	simStart       = 100 * time.Second
)

func newSimulation(f mutations) *simulation {
	// Each instance may start with one request, and one second of the limit may
	// be saved up.
	w := &simulation{now: simStart, maxAdmitted: simAccountRate + 6, versions: map[[2]int]uint64{}}
	for i := range 6 {
		core := NewCore(CoreOptions{Instance: instanceName(i), WallOffset: time.Hour, mutations: f})
		core.Step(w.now, ConfigChanged{Config: configWith(simAccountRate, 4000)})
		core.Step(w.now, FleetResized{Instances: 6})
		w.cores = append(w.cores, core)
	}
	return w
}

func instanceName(i int) api.InstanceID { return api.InstanceID(fmt.Sprintf("i%d", i)) }

// simulate runs the segments and returns the first broken promise.
func simulate(list []segment, f mutations) error {
	w := newSimulation(f)
	for _, s := range list {
		for step := range 50 {
			w.now += 100 * time.Millisecond
			w.addAllowance(s)
			w.submitRequests(s)
			if step%10 == 9 {
				w.exchange(s)
			}
			if err := w.check(); err != nil {
				return err
			}
		}
	}
	return w.checkDrained()
}

// addAllowance adds what the fleet may admit in one step. A change of the shares is
// known everywhere only after a second. A lost instance goes on with its last
// share, which its peers use too once they have forgotten it.
func (w *simulation) addAllowance(s segment) {
	const tolerance = 1.3
	for _, isolated := range s.isolated {
		if isolated {
			w.uncertainUntil = w.now + minUsageTTL + contactTimeout
		}
	}
	perStep := simAccountRate / 10
	w.maxAdmitted += tolerance * perStep
	if w.now <= w.uncertainUntil {
		w.maxAdmitted += perStep
	}
}

func (w *simulation) submitRequests(s segment) {
	for i, core := range w.cores {
		core.Step(w.now, Tick{})
		for range s.offered[i] {
			w.nextID++
			request := api.AdmissionRequest{Account: testAccount, Priority: api.PriorityInteractive, Tokens: s.tokens}
			for _, action := range core.Step(w.now, AdmissionRequested{ID: w.nextID, Request: request}) {
				if _, ok := action.(RequestAdmitted); ok {
					w.admitted++
					w.held = append(w.held, heldAdmission{i, w.nextID})
				}
			}
		}
		if i == 0 {
			w.retry(core, s.retries)
		}
	}
	w.release(len(w.held) / 2)
}

func (w *simulation) retry(core *Core, count int) {
	for range count {
		answer := core.Step(w.now, RetryRequested{Priority: api.PriorityLookup})[0].(RetryDecided)
		if answer.Allowed {
			w.retried++
		}
	}
}

func (w *simulation) release(count int) {
	for _, h := range w.held[:count] {
		w.cores[h.core].Step(w.now, AdmissionReleased{ID: h.id})
		w.cores[h.core].Step(w.now, AdmissionReleased{ID: h.id})
	}
	w.held = w.held[count:]
}

// exchange passes the deltas between all instances in contact. An isolated one
// sees its peers die, as the fleet would report.
func (w *simulation) exchange(s segment) {
	for i, core := range w.cores {
		if s.isolated[i] {
			core.Step(w.now, FleetResized{Instances: 1})
			continue
		}
		core.Step(w.now, FleetResized{Instances: 6})
		deltas := core.Collect(w.now, 100)
		for j, other := range w.cores {
			if i != j && !s.isolated[j] {
				other.Step(w.now, PeerUsageReceived{Usage: deltas})
				w.redeliverOldUsage(other, deltas, s.oldVersionAge)
			}
		}
	}
}

// redeliverOldUsage delivers a delta of an earlier version again.
func (w *simulation) redeliverOldUsage(core *Core, deltas []PeerUsage, age int) {
	for _, u := range deltas {
		u.Version -= uint64(min(age, 20000))
		u.Rate = 0
		core.Step(w.now, PeerUsageReceived{Usage: []PeerUsage{u}})
	}
}

func (w *simulation) check() error {
	elapsed := (w.now - simStart).Seconds()
	if float64(w.admitted) > w.maxAdmitted {
		return fmt.Errorf("rate: %d admitted, %.0f allowed", w.admitted, w.maxAdmitted)
	}
	if allowed := 10 + 0.1*float64(w.admitted) + 0.5*elapsed; float64(w.retried) > allowed {
		return fmt.Errorf("retries: %d retries, %.0f allowed", w.retried, allowed)
	}
	for i, core := range w.cores {
		for j := range w.cores {
			if err := w.checkVersion(core, i, j); err != nil {
				return err
			}
		}
	}
	return nil
}

func (w *simulation) checkVersion(core *Core, i, j int) error {
	a, ok := core.accounts[testAccount]
	if !ok || a.peers[instanceName(j)] == nil {
		return nil
	}
	key := [2]int{i, j}
	version := a.peers[instanceName(j)].usage.Version
	if version < w.versions[key] {
		return fmt.Errorf("versions: usage of %d at %d went back", j, i)
	}
	w.versions[key] = version
	return nil
}

// checkDrained checks that released tokens are given back.
func (w *simulation) checkDrained() error {
	w.release(len(w.held))
	for i, core := range w.cores {
		if a, ok := core.accounts[testAccount]; ok && a.tokensInFlight != 0 {
			return fmt.Errorf("tokens: %d tokens in flight at %d after the end", a.tokensInFlight, i)
		}
	}
	return nil
}

// Guards the limits over the whole fleet under any pattern of demand, loss of
// contact and repeated old deltas.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := simulate(segments.Draw(t, "segments"), mutations{}); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against an oracle that detects nothing.
func TestWrongVariantsAreDetected(t *testing.T) {
	variants := []struct {
		property string
		faults   mutations
	}{
		{"rate", mutations{takeWholeLimitWithoutContact: true}},
		{"rate", mutations{ignoreRate: true}},
		{"versions", mutations{acceptOldUsage: true}},
		{"retries", mutations{ignoreRetryBudget: true}},
		{"tokens", mutations{ignoreReleases: true}},
	}
	for _, v := range variants {
		if !detects(v.property, v.faults) {
			t.Errorf("the wrong variant %+v passes", v.faults)
		}
	}
}

func detects(promise string, f mutations) bool {
	for seed := range 100 {
		err := simulate(segments.Example(seed), f)
		if err != nil && len(err.Error()) > len(promise) && err.Error()[:len(promise)] == promise {
			return true
		}
	}
	return false
}

// shedShares returns the admitted parts of drafts and interactive work while
// interactive work waits for the given times.
func shedShares(delays []int, f mutations) (draft, interactive float64) {
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
				if !s.shouldRefuse(now, api.AdmissionRequest{Priority: priority}, f) {
					counts[priority]++
				}
			}
		}
	}
	total := float64(offered)
	return float64(counts[api.PriorityDraft]) / total, float64(counts[api.PriorityInteractive]) / total
}

var delays = rapid.SliceOfN(rapid.IntRange(0, 3000), 10, 200)

// Guards the order of shedding: drafts before interactive work, whatever the
// delays.
func TestDraftsAreShedFirst(t *testing.T) {
	const rounding = 0.01
	rapid.Check(t, func(t *rapid.T) {
		draft, interactive := shedShares(delays.Draw(t, "delays"), mutations{})
		if draft > interactive+rounding {
			t.Fatalf("%.3f of the drafts admitted, %.3f of the interactive work", draft, interactive)
		}
	})
	draft, interactive := shedShares([]int{1000, 1000, 1000, 1000, 1000, 1000}, mutations{shedInteractiveFirst: true})
	if draft <= interactive+rounding {
		t.Fatal("the wrong variant that sheds interactive work first passes")
	}
}
