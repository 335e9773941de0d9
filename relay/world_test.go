package relay_test

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/internal/transfer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/relay"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/storesync"
)

// pathState is what happens to calls on a path.
type pathState int

const (
	pathSound   pathState = iota
	pathRefuses           // new calls get an error at once, those under way go on
	pathBreaks            // responses of the store begin and break off
	pathResets            // all calls fail at once
	pathSilent            // calls get no response
)

// path is a path on which faults overlap.
type path [pathSilent + 1]int // faults in force by what they do

func (p *path) begin(fault pathState) { p[fault]++ }
func (p *path) end(fault pathState)   { p[fault]-- }

// state returns the worst of the faults in force.
func (p *path) state() pathState {
	for state := pathSilent; state > pathSound; state-- {
		if p[state] > 0 {
			return state
		}
	}
	return pathSound
}

var (
	errRefused = errors.New("refused")
	errReset   = errors.New("reset")
)

// deployment is what distinguishes the fleets that the model plays.
type deployment struct {
	name string
	// domains are the numbers of instances of the failure domains. Those with an even
	// index are in the region of the store.
	domains []int
	// activation is the time within which a version has to be in force.
	activation time.Duration
	// contactTime is how long an instance has to be in touch with the store until it is
	// held to that.
	contactTime   time.Duration
	regionReaders bool
	breaksOff     bool     // instances that lose the store may get parts of its responses
	brokenSeeds   []uint64 // of days that have broken the rule
}

func (d deployment) instances() int {
	sum := 0
	for _, count := range d.domains {
		sum += count
	}
	return sum
}

// world is a fleet and its store in virtual time. Instances in two regions follow the
// store over paths that fail and recover.
type world struct {
	began      time.Time
	deployment deployment
	nodes      []*worldNode
	calls      atomic.Int32 // to the store
	log        *slog.Logger

	mu         sync.Mutex
	changed    chan struct{} // closed and replaced when a path or the store's data changes
	storePath  path          // of all instances
	storeDelay time.Duration // of each response
	stored     uint64        // version
	acked      []time.Duration
}

// worldNode is a machine with at most one running instance.
type worldNode struct {
	world  *world
	member api.Member

	// Guarded by world.mu.
	storePath  path
	peerPath   path // between this instance and all others
	running    *worldInstance
	impairedAt time.Duration // last time at which the rules do not hold the instance to their bounds
	stateSeen  api.MemberState
	seenAt     time.Duration // last time at which the others' view agreed with the state
	lossDelay  time.Duration // after which the others notice that the instance is gone
	backDelay  time.Duration // after which they notice that it is back
}

// worldInstance is one lifetime of an instance.
type worldInstance struct {
	cancel  context.CancelFunc
	cache   *relay.Cache
	table   *routing.CurrentTable
	members chan struct{} // closed when it knows the others
}

// newWorld returns a fleet of which no instance runs.
func newWorld(d deployment, name func(domain, i int) string) *world {
	w := &world{began: time.Now(), deployment: d, log: slog.New(slog.DiscardHandler), changed: make(chan struct{})}
	for domain, count := range d.domains {
		for i := range count {
			id := name(domain, i)
			place := api.Place{Region: api.Region(fmt.Sprint(domain % 2)), FailureDomain: api.FailureDomain(fmt.Sprint(domain))}
			w.nodes = append(w.nodes, &worldNode{world: w, stateSeen: api.MemberAlive, member: api.Member{
				ID: api.InstanceID(id), Address: id, State: api.MemberAlive, Place: place,
			}})
		}
	}
	return w
}

func (w *world) now() time.Duration { return time.Since(w.began) }

// clock is the boot clock of all instances.
func (w *world) clock() time.Duration { return time.Hour + w.now() }

// change calls f with the lock held and wakes the calls that wait.
func (w *world) change(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
	close(w.changed)
	w.changed = make(chan struct{})
}

// put writes the next version. The store acknowledges it unless it is down itself.
func (w *world) put() {
	w.change(func() {
		if w.storePath.state() == pathSound {
			w.stored++
			w.acked = append(w.acked, w.now())
		}
	})
}

// version returns the stored version and a channel that is closed when it may change.
func (w *world) version() (uint64, chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.stored, w.changed
}

// start starts an instance that does not know the others yet.
func (n *worldNode) start(ctx context.Context, joinDelay time.Duration) {
	ctx, cancel := context.WithCancel(ctx)
	i := &worldInstance{cancel: cancel, cache: relay.NewCache(tally.NoopScope), table: &routing.CurrentTable{}, members: make(chan struct{})}
	w := n.world
	var follower *storesync.Follower
	source := relay.NewSource(relay.SourceOptions{
		Self: n.member, DirectStore: worldStore{n: n}, Members: func() []api.Member { return n.knownMembers(i) }, MembersKnown: i.members,
		RelayClient: func(address string) peerpb.Relay { return worldRelay{from: n, to: w.nodeAt(address)} },
		DecodeTable: decode, AcceptStale: func() bool { return i.table.Load() == nil },
		UntilTableRead: func() time.Duration { return follower.TableContact().UntilOwnRead() },
		RegionReaders:  w.deployment.regionReaders, TableActivation: w.deployment.activation,
		Clock: w.clock, Log: w.log.With("instance", n.member.ID), Scope: tally.NoopScope,
	})
	follower = storesync.New(storesync.Options{
		Store: source, Table: i.table, Recorder: i.cache, TableActivation: w.deployment.activation, Clock: w.clock,
		Log: w.log.With("instance", n.member.ID), Scope: tally.NoopScope,
	})
	i.cache.SetContacts(follower.TableContact(), follower.EndpointContact())
	w.change(func() {
		n.running = i
		n.impairedAt = w.now()
	})
	go func() { _ = follower.FollowTable(ctx) }()
	go func() {
		time.Sleep(joinDelay)
		close(i.members)
	}()
}

// kill ends the running instance.
func (n *worldNode) kill() {
	n.world.change(func() {
		if n.running != nil {
			n.running.cancel()
		}
		n.running = nil
	})
}

func (w *world) nodeAt(address string) *worldNode {
	for _, n := range w.nodes {
		if n.member.Address == address {
			return n
		}
	}
	return nil
}

// knownMembers returns the member table of an instance.
func (n *worldNode) knownMembers(i *worldInstance) []api.Member {
	if !isClosed(i.members) {
		return []api.Member{n.member}
	}
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	members := make([]api.Member, 0, len(n.world.nodes))
	for _, other := range n.world.nodes {
		m := other.member
		if other != n {
			m.State = other.stateSeen
		}
		members = append(members, m)
	}
	return members
}

// impaired reports whether something keeps the instance from working by the rules. It is
// called with the lock held.
func (n *worldNode) impaired() bool {
	return n.running == nil || n.storePath.state() != pathSound || n.peerPath.state() != pathSound || n.world.storeImpaired()
}

func (w *world) storeImpaired() bool { return w.storePath.state() != pathSound || w.storeDelay > 0 }

// lateInstance is a break of the rule: an instance in touch acted by an old version.
type lateInstance struct {
	at             time.Duration
	instance       api.InstanceID
	active, wanted uint64
	acked          time.Duration // wanted
}

func (l lateInstance) String() string {
	return fmt.Sprintf("at %v: %s acts by version %d, version %d was acknowledged at %v", l.at, l.instance, l.active, l.wanted, l.acked)
}

// check updates what the instances know of each other and returns those that act by an
// old version although they have been in touch with the store for the contact time.
func (w *world) check() []lateInstance {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.now()
	required := uint64(0)
	for i, acked := range w.acked {
		if acked+w.deployment.activation < now {
			required = uint64(i + 1)
		}
	}
	var late []lateInstance
	for _, n := range w.nodes {
		n.observe(now)
		if n.impaired() {
			n.impairedAt = now
		}
		if n.running == nil || now-n.impairedAt < w.deployment.contactTime+checkInterval {
			continue
		}
		if active := n.running.table.Version(); active < required {
			late = append(late, lateInstance{now, n.member.ID, active, required, w.acked[required-1]})
		}
	}
	return late
}

// observe updates the state in which the other instances see this one.
func (n *worldNode) observe(now time.Duration) {
	state, delay := api.MemberAlive, n.backDelay
	if n.running == nil || n.peerPath.state() != pathSound {
		state, delay = api.MemberSuspect, n.lossDelay
	}
	switch {
	case state == n.stateSeen:
		n.seenAt = now
	case now-n.seenAt >= delay:
		n.stateSeen, n.seenAt = state, now
	}
}

// worldStore is the store as one instance reaches it.
type worldStore struct {
	storesync.Store // of registrations, which nothing reads
	n               *worldNode
}

func (s worldStore) ReadTable(ctx context.Context) (storesync.TableRead, error) {
	return s.call(ctx, 0, func(ctx context.Context) (storesync.TableRead, error) {
		version, _ := s.n.world.version()
		return storesync.TableRead{Table: table(version), Revision: at(version)}, nil
	})
}

func (s worldStore) WatchTable(ctx context.Context, after storesync.Revision, wait time.Duration) (storesync.TableRead, error) {
	return s.call(ctx, wait, func(ctx context.Context) (storesync.TableRead, error) {
		end := time.After(wait)
		for {
			version, changed := s.n.world.version()
			if version > after.Number {
				return storesync.TableRead{Table: table(version), Revision: at(version)}, nil
			}
			select {
			case <-changed:
			case <-end:
				return storesync.TableRead{Revision: after}, nil
			case <-ctx.Done():
				return storesync.TableRead{}, ctx.Err()
			}
		}
	})
}

// call makes a call with the timeouts of the platform's client.
func (s worldStore) call(ctx context.Context, wait time.Duration, read func(context.Context) (storesync.TableRead, error)) (storesync.TableRead, error) {
	ctx, cancel := transfer.WithBounds(ctx, transfer.Bounds{FirstByte: wait + storeTimeout, Stall: storeTimeout, Total: wait + 4*time.Second})
	defer cancel()
	s.n.world.calls.Add(1)
	return overPath(ctx, s.n.world, s.path, func(ctx context.Context) (storesync.TableRead, error) {
		time.Sleep(s.n.storeLatency())
		response, err := read(ctx)
		time.Sleep(s.n.storeLatency())
		if s.breaksOff() {
			transfer.Progress(ctx)
			<-ctx.Done()
			return storesync.TableRead{}, ctx.Err()
		}
		return response, err
	})
}

func (s worldStore) path() pathState {
	return max(s.n.world.storePath.state(), s.n.storePath.state(), s.n.peerPath.state())
}

func (s worldStore) breaksOff() bool {
	s.n.world.mu.Lock()
	defer s.n.world.mu.Unlock()
	return s.path() == pathBreaks
}

// storeLatency returns the latency of one way to or from the store.
func (n *worldNode) storeLatency() time.Duration {
	n.world.mu.Lock()
	defer n.world.mu.Unlock()
	return 2*time.Millisecond + n.world.storeDelay/2 + n.latencyTo("0")
}

// latencyTo returns the latency of one way to a region.
func (n *worldNode) latencyTo(region api.Region) time.Duration {
	if n.member.Region == region {
		return 900 * time.Microsecond
	}
	return 8 * time.Millisecond
}

// worldRelay is the relay of one instance as another one reaches it.
type worldRelay struct{ from, to *worldNode }

var _ peerpb.Relay = worldRelay{}

func (r worldRelay) WatchTable(ctx context.Context, request *peerpb.WatchRequest) (*peerpb.TableAnswer, error) {
	return overPath(ctx, r.from.world, r.path, func(ctx context.Context) (*peerpb.TableAnswer, error) {
		time.Sleep(r.from.latencyTo(r.to.member.Region))
		r.from.world.mu.Lock()
		instance := r.to.running
		r.from.world.mu.Unlock()
		if instance == nil {
			return nil, errReset
		}
		response, err := instance.cache.WatchTable(ctx, request)
		time.Sleep(r.from.latencyTo(r.to.member.Region))
		return response, err
	})
}

func (r worldRelay) WatchEndpoints(context.Context, *peerpb.WatchRequest) (*peerpb.EndpointsAnswer, error) {
	return nil, errReset
}

func (r worldRelay) path() pathState {
	if r.to.running == nil && r.to.peerPath.state() != pathSilent {
		return pathResets
	}
	return max(r.from.peerPath.state(), r.to.peerPath.state())
}

// overPath makes a call over a path that may fail and recover meanwhile. A call that was
// lost on a silent path gets no response after it recovers either.
func overPath[T any](ctx context.Context, w *world, path func() pathState, call func(context.Context) (T, error)) (T, error) {
	type result struct {
		response T
		err      error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan result, 1)
	responded := done
	for started := false; ; started = true {
		w.mu.Lock()
		state, changed := path(), w.changed
		w.mu.Unlock()
		var none T
		switch {
		case state == pathResets:
			return none, errReset
		case state == pathRefuses && !started:
			time.Sleep(time.Millisecond)
			return none, errRefused
		case state == pathSilent:
			responded = nil
		case !started:
			go func() {
				response, err := call(ctx)
				done <- result{response, err}
			}()
		}
		select {
		case r := <-responded:
			return r.response, r.err
		case <-changed:
		case <-ctx.Done():
			return none, ctx.Err()
		}
	}
}

// members returns all instances as alive.
func (w *world) members() []api.Member {
	members := make([]api.Member, 0, len(w.nodes))
	for _, n := range w.nodes {
		members = append(members, n.member)
	}
	return members
}
