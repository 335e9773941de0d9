package ratelimit_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/ratelimit"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

const (
	// limitWindow, limitFactor and limitSlack are the users' bound: in each window an
	// endpoint gets at most limitFactor times its limit and limitSlack requests more.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5.0
	// noticeTime is the time after which a limit has to be kept.
	noticeTime = 3 * time.Second
	// detectionTime is the time after which the fleet notices the loss or the start
	// of an instance.
	detectionTime  = 2500 * time.Millisecond
	gossipInterval = 200 * time.Millisecond
	gossipPeers    = 4
	maxDeltaBytes  = 200
)

// simEndpoint is an endpoint that names a limit while it is above 0.
type simEndpoint struct {
	registry.Endpoint
	limit     float64
	limitedAt time.Time
	arrivals  []time.Time
}

// simNode is one instance. A node that is down takes no requests, calls or messages;
// one that is cut off takes requests, but reaches no other instance.
type simNode struct {
	member    api.Member
	limiter   *ratelimit.Limiter
	down, cut bool
	// excusedUntil is the time until which its requests do not count: it was down
	// or cut off.
	excusedUntil time.Time
	cutAt        time.Time
	blocked      map[api.EndpointID]time.Time
}

// simFleet is a fleet of instances before endpoints with limits.
type simFleet struct {
	mu        sync.Mutex
	random    *rand.Rand
	began     time.Time
	nodes     []*simNode
	members   []api.Member // as the instances see them
	endpoints []*simEndpoint
	refused   int
	requests  sync.WaitGroup
}

func newFleet(seed uint64, nodes, endpoints int) *simFleet {
	f := &simFleet{random: rand.New(rand.NewPCG(seed, 1)), began: time.Now()}
	for i := range endpoints {
		f.endpoints = append(f.endpoints, &simEndpoint{Endpoint: registry.Endpoint{ID: api.EndpointID(fmt.Sprintf("e%d", i)), Incarnation: 1}})
	}
	for range nodes {
		f.start()
	}
	f.members = f.liveMembers()
	return f
}

// start adds an instance, which knows what another one sends it.
func (f *simFleet) start() *simNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := fmt.Sprintf("n%d", len(f.nodes))
	n := &simNode{
		member:  api.Member{ID: api.InstanceID(id), Address: id, State: api.MemberAlive},
		blocked: make(map[api.EndpointID]time.Time),
	}
	n.limiter = ratelimit.New(ratelimit.Options{
		Self:         n.member.ID,
		Members:      func() []api.Member { return f.membersSeenBy(n) },
		PermitClient: func(address string) peerpb.Permits { return simClient{f, n, address} },
		Clock:        func() time.Duration { return time.Hour + time.Since(f.began) },
		Log:          slog.New(slog.DiscardHandler), Scope: tally.NoopScope,
	})
	if len(f.nodes) > 0 {
		n.limiter.Merge(f.nodes[0].limiter.Snapshot())
	}
	f.nodes = append(f.nodes, n)
	return n
}

// liveMembers returns the members as those that are not cut off see them.
func (f *simFleet) liveMembers() []api.Member {
	var list []api.Member
	for _, n := range f.nodes {
		m := n.member
		if n.down || n.cut {
			m.State = api.MemberDead
		}
		list = append(list, m)
	}
	return list
}

// membersSeenBy returns the members as an instance sees them. One that was cut off
// some time ago sees no others.
func (f *simFleet) membersSeenBy(n *simNode) []api.Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !n.cut || time.Since(n.cutAt) < detectionTime {
		return f.members
	}
	list := slices.Clone(f.members)
	for i := range list {
		list[i].State = api.MemberDead
	}
	return list
}

// update changes the fleet; the instances see the members change later.
func (f *simFleet) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	list := f.liveMembers()
	time.AfterFunc(detectionTime, func() { f.mu.Lock(); defer f.mu.Unlock(); f.members = list })
}

func (f *simFleet) setLimit(e *simEndpoint, limit float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e.limit, e.limitedAt = limit, time.Now()
}

// simClient calls another instance with the delay between two regions.
type simClient struct {
	f       *simFleet
	from    *simNode
	address string
}

func (c simClient) Acquire(ctx context.Context, r *peerpb.PermitRequest) (*peerpb.PermitResponse, error) {
	c.f.mu.Lock()
	var to *simNode
	for _, n := range c.f.nodes {
		if n.member.Address == c.address && !n.down && !n.cut && !c.from.cut {
			to = n
		}
	}
	c.f.mu.Unlock()
	if to == nil {
		<-ctx.Done()
		return nil, errors.New("no response")
	}
	time.Sleep(8 * time.Millisecond)
	response, err := to.limiter.Server().Acquire(ctx, r)
	time.Sleep(8 * time.Millisecond)
	return response, err
}

// request serves one request of a caller at an instance, which tries the endpoints
// in the given order.
func (f *simFleet) request(n *simNode, order []int, attempts int) {
	f.mu.Lock()
	down := n.down
	f.mu.Unlock()
	if down {
		return
	}
	sent := 0
	for _, i := range order {
		if sent < attempts && f.attempt(n, f.endpoints[i]) {
			sent++
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if sent == 0 {
		f.refused++
	}
}

// attempt sends the request to an endpoint if there is a permit.
func (f *simFleet) attempt(n *simNode, e *simEndpoint) bool {
	f.mu.Lock()
	blocked := time.Now().Before(n.blocked[e.ID])
	f.mu.Unlock()
	if blocked {
		return false
	}
	wait := n.limiter.Acquire(context.Background(), e.Endpoint)
	f.mu.Lock()
	if wait > 0 {
		n.blocked[e.ID] = time.Now().Add(wait)
		f.mu.Unlock()
		return false
	}
	if !n.cut && time.Now().After(n.excusedUntil) {
		e.arrivals = append(e.arrivals, time.Now())
	}
	f.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	f.mu.Lock()
	limit := e.limit
	f.mu.Unlock()
	if limit > 0 {
		n.limiter.RecordLimit(e.Endpoint, limit)
	} else {
		n.limiter.RecordNoLimit(e.Endpoint)
	}
	return true
}

// gossip passes changed limits on, as the exchanges of the fleet do.
func (f *simFleet) gossip() {
	f.mu.Lock()
	nodes := f.nodes
	f.mu.Unlock()
	for _, n := range nodes {
		for range gossipPeers {
			to := nodes[f.random.IntN(len(nodes))]
			if n.down || n.cut || to.down || to.cut || n == to {
				continue
			}
			to.limiter.Merge(n.limiter.Collect(maxDeltaBytes))
		}
	}
}

// run plays callers for a time. A seventh of the requests need a second attempt.
func (f *simFleet) run(duration time.Duration, perSecond int) {
	interval := time.Second / time.Duration(perSecond)
	nextGossip := time.Now()
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(interval) {
		attempts := 1
		if f.random.IntN(7) == 0 {
			attempts = 2
		}
		n := f.nodes[f.random.IntN(len(f.nodes))]
		order := f.random.Perm(len(f.endpoints))
		f.requests.Go(func() { f.request(n, order, attempts) })
		if !time.Now().Before(nextGossip) {
			f.gossip()
			nextGossip = time.Now().Add(gossipInterval)
		}
	}
}

// checkLimits checks each window of an endpoint's limit that begins after from.
func (f *simFleet) checkLimits(t *testing.T, from time.Time) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		if e.limit == 0 {
			continue
		}
		allowed := limitFactor*e.limit*limitWindow.Seconds() + limitSlack
		start := 0
		worst := 0
		for i, at := range e.arrivals {
			for at.Sub(e.arrivals[start]) > limitWindow || e.arrivals[start].Before(from) && start < i {
				start++
			}
			if at.After(from) {
				worst = max(worst, i-start+1)
			}
		}
		t.Logf("%s: limit %.2f a second, at most %d requests in %v, allowed %.0f", e.ID, e.limit, worst, limitWindow, allowed)
		if float64(worst) > allowed {
			t.Errorf("%s got %d requests in %v, allowed %.0f", e.ID, worst, limitWindow, allowed)
		}
	}
}

// Guards against an endpoint that gets more than it takes, or much less, however
// many instances there are.
func TestFleetKeepsLimits(t *testing.T) {
	tests := []struct {
		nodes     int
		perSecond int
		limits    []float64
	}{
		{6, 49, []float64{9.4, 1.2, 28}},
		{72, 290, []float64{30, 2, 0.4, 28, 12, 1}},
		{330, 300, []float64{5, 0.2, 0}},
		{1, 20, []float64{2, 1}},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d instances", test.nodes), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(1, test.nodes, len(test.limits))
				f.run(2*time.Second, test.perSecond)
				for i, e := range f.endpoints {
					f.setLimit(e, test.limits[i])
				}
				f.run(noticeTime, test.perSecond)
				from := time.Now()
				f.run(20*time.Second, test.perSecond)
				f.checkLimits(t, from)
				for i, e := range f.endpoints {
					got := 0
					for _, at := range e.arrivals {
						if at.After(from) {
							got++
						}
					}
					// One request may be on either side of the border.
					if want := 0.8*test.limits[i]*20 - 1; test.limits[i] > 0 && float64(got) < want {
						t.Errorf("%s got %d requests in 20 s, want %.0f", e.ID, got, want)
					}
				}
				for _, e := range f.endpoints {
					f.setLimit(e, 0)
				}
				f.run(5*time.Second, test.perSecond)
				f.refused = 0
				f.run(5*time.Second, test.perSecond)
				if f.refused > 0 {
					t.Errorf("%d requests were refused after the end of the limits", f.refused)
				}
				f.requests.Wait()
				time.Sleep(detectionTime)
			})
		})
	}
}

// Guards against limits that are exceeded or forgotten while instances start, stop,
// die or are cut off and limits change, end and come back.
func TestFleetKeepsLimitsWhileInstancesChange(t *testing.T) {
	for seed := uint64(1); seed <= 10; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(seed, 6+int(seed%3)*15, 4)
				for round := range 6 {
					for _, e := range f.endpoints {
						f.setLimit(e, []float64{0, 0.5, 2, 9, 30}[f.random.IntN(5)])
					}
					f.run(noticeTime, 200)
					from := time.Now()
					f.change(round)
					f.run(8*time.Second, 200)
					f.checkLimits(t, from)
				}
				f.requests.Wait()
				time.Sleep(detectionTime)
			})
		})
	}
}

// change lets a third of the instances die, come back or be cut off, or new ones
// start.
func (f *simFleet) change(round int) {
	if round%3 == 2 {
		for range len(f.nodes) / 3 {
			f.start()
		}
		f.update(func() {})
		return
	}
	f.update(func() {
		for _, n := range f.nodes {
			if n.down || n.cut {
				n.excusedUntil = time.Now().Add(noticeTime)
			}
			hit := f.random.IntN(3) == 0
			n.down = hit && round%3 == 0
			n.cut = hit && round%3 == 1
			n.cutAt = time.Now()
		}
		f.nodes[0].down, f.nodes[0].cut = false, false
	})
}
