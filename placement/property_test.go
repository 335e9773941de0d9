package placement

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusstair/hibiscusstair/api"
	_ "github.com/hibiscusstair/hibiscusstair/internal/testseed"
)

const (
	testHalf               = api.Half("north")
	otherHalf              = api.Half("south")
	testLinkBytesPerSecond = 10000.0
)

var (
	testPlace = api.Place{Region: "east", FailureDomain: "east-1"}
	testModel = api.ModelRef{Model: "dream", Version: "1"}
)

// testEngine returns an engine without restriction of client accounts.
func testEngine(id string, region api.Region, slots int) api.Endpoint {
	return api.Endpoint{
		ID: api.EndpointID(id), Kind: api.KindEngine, Address: "127.0.0.1:1", Half: testHalf, Slots: slots,
		Place: api.Place{Region: region}, Models: []api.ModelRef{testModel},
	}
}

func testConfig(endpoints ...api.Endpoint) *api.Config {
	config := &api.Config{Ticket: 1, Endpoints: map[api.EndpointID]api.Endpoint{}}
	for _, e := range endpoints {
		config.Endpoints[e.ID] = e
	}
	return config
}

// operation is one step of a generated test run. Its kind is 0 for the placement of a
// lookup on an engine, 1 for a placement on a service, 2 to 5 for other placements,
// 6 and 7 for a release, 8 for a silent endpoint, 9 for the end of a probe, 10 for a
// new configuration, 11 for a load from a peer, and 12 and 13 for a tick. The meaning
// of a, b and c depends on the kind.
type operation struct{ kind, a, b, c int }

var operationLists = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) operation {
	return operation{
		kind: rapid.IntRange(0, 13).Draw(t, "kind"),
		a:    rapid.IntRange(0, 1000).Draw(t, "a"),
		b:    rapid.IntRange(0, 1000).Draw(t, "b"),
		c:    rapid.IntRange(0, 1000).Draw(t, "c"),
	}
}), 20, 160)

// oracle tracks the inputs and outputs of a core and checks them against the
// properties that the core has to preserve.
type oracle struct {
	core       *Core
	now        time.Duration
	config     *api.Config
	ids        []api.EndpointID
	requests   map[uint64]PlacementRequested
	grantedOn  map[uint64]api.EndpointID
	grantOrder []uint64
	nextID     uint64
	probes     []StartProbe
	// failedAt maps an endpoint to its last failure until a probe that started
	// afterwards succeeds, and probeStartedAt maps a probe to its start.
	failedAt          map[api.EndpointID]time.Duration
	probeStartedAt    map[uint64]time.Duration
	loadVersions      map[api.EndpointID]uint64
	continuationTimes map[api.EndpointID][]time.Duration
	linkBytes         float64
	linkRefilledAt    time.Duration
	// reserved tells which endpoints were reserved for isolated content before the
	// step.
	reserved map[api.EndpointID]bool
}

func newOracle(m mutations) *oracle {
	o := &oracle{
		core: NewCore(CoreOptions{Instance: "i1", Half: testHalf, Place: testPlace, Seed: 7, LinkBytesPerSecond: testLinkBytesPerSecond,
			WallOffset: time.Hour, mutations: m}),
		now:               time.Second,
		ids:               []api.EndpointID{"e1", "e2", "e3", "r1", "s1"},
		requests:          map[uint64]PlacementRequested{},
		grantedOn:         map[uint64]api.EndpointID{},
		failedAt:          map[api.EndpointID]time.Duration{},
		probeStartedAt:    map[uint64]time.Duration{},
		loadVersions:      map[api.EndpointID]uint64{},
		continuationTimes: map[api.EndpointID][]time.Duration{},
		reserved:          map[api.EndpointID]bool{},
		linkBytes:         2 * testLinkBytesPerSecond,
		linkRefilledAt:    time.Second,
	}
	o.config = o.configuration(nil)
	return o
}

func (o *oracle) configuration(pending []api.PendingTicket) *api.Config {
	service := api.Endpoint{ID: "s1", Kind: api.KindService, Half: testHalf, Slots: 4, Place: testPlace}
	config := testConfig(testEngine("e1", "east", 8), testEngine("e2", "east", 3), testEngine("e3", "east", 1),
		testEngine("r1", "west", 16), service)
	config.Pending = pending
	return config
}

// runOperations applies the operations to a core and returns the first violation.
// Its text starts with the name of the violated property and a colon.
func runOperations(operations []operation, m mutations) error {
	o := newOracle(m)
	if err := o.step(ConfigChanged{Config: o.config}); err != nil {
		return err
	}
	for _, op := range operations {
		if err := o.apply(op); err != nil {
			return err
		}
		if err := o.checkInvariants(); err != nil {
			return err
		}
	}
	return nil
}

func (o *oracle) apply(op operation) error {
	id := o.ids[op.a%len(o.ids)]
	switch op.kind {
	case 0, 1, 2, 3, 4, 5:
		return o.place(op)
	case 6, 7:
		return o.release(op)
	case 8:
		o.recordFailure(id)
		return o.step(EndpointSilent{Endpoint: id})
	case 9:
		return o.probeEnded(op)
	case 10:
		o.config = o.configuration(o.pendingTicket(op))
		return o.step(ConfigChanged{Config: o.config})
	case 11:
		load := PeerLoad{Endpoint: id, Instance: "i2", Version: o.core.wallMillis(o.now) - uint64(op.b), Running: 0}
		return o.step(PeerLoadsReceived{Loads: []PeerLoad{load}})
	default:
		o.now += time.Duration(op.a) * time.Millisecond
		return o.step(Tick{})
	}
}

func (o *oracle) pendingTicket(op operation) []api.PendingTicket {
	if op.b%3 == 0 {
		return nil
	}
	id := o.ids[op.a%len(o.ids)]
	next := o.configuration(nil).Endpoints[id]
	next.Half = otherHalf
	state := &next
	if op.b%3 == 1 {
		state = nil
	}
	return []api.PendingTicket{{Ticket: 2, Endpoints: map[api.EndpointID]*api.Endpoint{id: state}}}
}

func (o *oracle) place(op operation) error {
	o.nextID++
	request := api.PlacementRequest{
		Kind: api.KindEngine, Model: testModel, Account: "a", Tokens: 100, LinkBytes: op.c * 10,
		Priority: api.PriorityInteractive + api.Priority(op.a%2), Recovery: op.b%4 == 0,
		Isolation: api.Isolation(max(0, op.b%8-5)), PrefixBlocks: []uint64{1, 2, uint64(op.c % 3)},
	}
	if op.kind == 0 {
		request.Priority = api.PriorityLookup
	}
	if op.kind == 1 {
		request = api.PlacementRequest{Kind: api.KindService, Account: "a", Priority: api.Priority(op.a % 4)}
	}
	e := PlacementRequested{ID: o.nextID, Request: request}
	if op.c%2 == 0 {
		e.Deadline = o.now + time.Duration(1+op.b)*time.Millisecond
	}
	o.requests[e.ID] = e
	return o.step(e)
}

func (o *oracle) release(op operation) error {
	if len(o.grantOrder) == 0 {
		return nil
	}
	index := op.a % len(o.grantOrder)
	id := o.grantOrder[index]
	o.grantOrder = append(o.grantOrder[:index], o.grantOrder[index+1:]...)
	outcome := api.Outcome(op.b % 5)
	if outcome == api.OutcomeCrashed || outcome == api.OutcomeSuspected {
		o.recordFailure(o.grantedOn[id])
	}
	delete(o.grantedOn, id)
	return o.step(GrantReleased{ID: id, Outcome: outcome})
}

func (o *oracle) recordFailure(id api.EndpointID) { o.failedAt[id] = o.now }

func (o *oracle) probeEnded(op operation) error {
	if len(o.probes) == 0 {
		return nil
	}
	probe := o.probes[0]
	o.probes = o.probes[1:]
	alive := op.a%3 != 0
	failedAt, failed := o.failedAt[probe.Endpoint.ID]
	if alive && failed && o.probeStartedAt[probe.ProbeID] >= failedAt {
		delete(o.failedAt, probe.Endpoint.ID)
	}
	return o.step(ProbeEnded{Endpoint: probe.Endpoint.ID, ProbeID: probe.ProbeID, Alive: alive})
}

func (o *oracle) step(event Event) error {
	for _, id := range o.ids {
		e, known := o.core.endpoints[id]
		o.reserved[id] = known && e.reservedFor != 0
	}
	for _, action := range o.core.Step(o.now, event) {
		switch a := action.(type) {
		case PlacementGranted:
			if err := o.checkGrant(a.Grant); err != nil {
				return err
			}
		case StartProbe:
			o.probes = append(o.probes, a)
			o.probeStartedAt[a.ProbeID] = o.now
		}
	}
	return nil
}

// checkGrant checks one grant against all properties of grants.
func (o *oracle) checkGrant(grant api.Grant) error {
	id := grant.Endpoint.ID
	placement := o.requests[grant.ID]
	request := placement.Request
	allowed := o.config.MayServe(id, testHalf, request.Account, request.Model)
	if request.Kind == api.KindService {
		allowed = o.config.MayDispatch(id, testHalf)
	}
	if !allowed {
		return fmt.Errorf("leaving: grant %d on %s, which accepts no new work", grant.ID, id)
	}
	if _, failed := o.failedAt[id]; failed {
		return fmt.Errorf("unprobed: grant %d on %s, which failed and has passed no probe since", grant.ID, id)
	}
	if placement.Deadline != 0 && o.now >= placement.Deadline {
		return fmt.Errorf("deadline: grant %d after its deadline", grant.ID)
	}
	if err := o.checkMarked(id, placement); err != nil {
		return err
	}
	o.grantedOn[grant.ID] = id
	o.grantOrder = append(o.grantOrder, grant.ID)
	if err := o.checkPacing(id, request); err != nil {
		return err
	}
	return o.checkLink(grant, request)
}

// checkMarked checks that isolated content has its endpoint for itself, and that
// marked content shares an endpoint with other marked content only if no usable
// endpoint of the region runs less of it.
func (o *oracle) checkMarked(id api.EndpointID, placement PlacementRequested) error {
	request := placement.Request
	for other, on := range o.grantedOn {
		if on != id {
			continue
		}
		if request.Isolation == api.IsolationExclusive {
			return fmt.Errorf("isolated: isolated content granted on %s, which runs other work", id)
		}
		if o.requests[other].Request.Isolation == api.IsolationExclusive {
			return fmt.Errorf("isolated: work granted on %s, which runs isolated content", id)
		}
	}
	if request.Isolation != api.IsolationSeparate {
		return nil
	}
	marked := o.markedOn(id)
	for _, other := range o.ids {
		if fewer := o.markedOn(other); fewer < marked && !o.reserved[other] && o.couldRun(other, request) {
			return fmt.Errorf("marked: granted on %[2]s, which has %[1]d grants for marked content, while %[4]s has %[3]d", marked, id, fewer, other)
		}
	}
	return nil
}

func (o *oracle) markedOn(id api.EndpointID) int {
	count := 0
	for other, on := range o.grantedOn {
		if on == id && o.requests[other].Request.Isolation != api.IsolationNone {
			count++
		}
	}
	return count
}

// couldRun reports whether an engine of the region could take the request now.
func (o *oracle) couldRun(id api.EndpointID, request api.PlacementRequest) bool {
	configured := o.config.Endpoints[id]
	if configured.Kind != api.KindEngine || configured.Region != testPlace.Region {
		return false
	}
	if !o.config.MayServe(id, testHalf, request.Account, request.Model) {
		return false
	}
	e := o.core.endpoints[id]
	if _, failed := o.failedAt[id]; failed || e.health.state != StateAlive || e.isModelPaused(o.now, request.Model) || e.reservedFor != 0 {
		return false
	}
	running := 0
	for other, on := range o.grantedOn {
		if on != id {
			continue
		}
		running++
		if o.requests[other].Request.Isolation == api.IsolationExclusive {
			return false
		}
	}
	for _, at := range o.continuationTimes[id] {
		if request.Recovery && o.now-at < 250*time.Millisecond {
			return false
		}
	}
	return running < slotLimitFor(configured.Slots, request)
}

// slotLimitFor returns how many slots a request of this priority may use. The oracle
// states the limits as literals, so that a changed constant of the core is detected.
func slotLimitFor(slots int, request api.PlacementRequest) int {
	switch {
	case slots == 1 || request.Priority == api.PriorityLookup:
		return slots
	case request.Priority == api.PriorityDraft && !request.Recovery:
		return max(1, slots-(slots+3)/4)
	case request.Priority == api.PriorityInteractive && request.Recovery:
		return slots
	}
	return slots - slots/16
}

// checkPacing checks the continuations that an endpoint took in the last 250 ms.
// It allows twice the limits, since the core's window may begin at any time. More
// than the endpoint's share is allowed only while no other endpoint could take the
// continuation within its own share.
func (o *oracle) checkPacing(id api.EndpointID, request api.PlacementRequest) error {
	if !request.Recovery {
		return nil
	}
	recent := []time.Duration{o.now}
	for _, at := range o.continuationTimes[id] {
		if o.now-at < 250*time.Millisecond {
			recent = append(recent, at)
		}
	}
	o.continuationTimes[id] = recent
	share := max(1, o.config.Endpoints[id].Slots/8)
	if len(recent) > 2*max(4, share) {
		return fmt.Errorf("pacing: %d continuations within 250 ms on %s", len(recent), id)
	}
	if other := o.endpointWithinShare(id, request); len(recent) > 2*share && other != "" {
		return fmt.Errorf("pacing: %d continuations within 250 ms on %s while %s has a share left", len(recent), id, other)
	}
	return nil
}

// endpointWithinShare returns another endpoint of the region that could take the
// continuation within its share, or "". For isolated content there is none, since
// its endpoint is fixed.
func (o *oracle) endpointWithinShare(id api.EndpointID, request api.PlacementRequest) api.EndpointID {
	o.core.enforceContinuationShare = true
	defer func() { o.core.enforceContinuationShare = false }()
	for _, e := range o.core.candidatesFor(&request).endpoints {
		other := e.id != id && e.crossRegion == o.core.endpoints[id].crossRegion && isEligible(e, &request)
		if other && request.Isolation != api.IsolationExclusive && o.core.blockReason(o.now, e, &waitingRequest{request: request}) == "" {
			return e.id
		}
	}
	return ""
}

// checkLink checks the budget of the billed link with a token bucket of its own.
func (o *oracle) checkLink(grant api.Grant, request api.PlacementRequest) error {
	if !grant.CrossRegion {
		return nil
	}
	burst := 2 * testLinkBytesPerSecond
	o.linkBytes = min(burst, o.linkBytes+testLinkBytesPerSecond*(o.now-o.linkRefilledAt).Seconds()) - float64(request.LinkBytes)
	o.linkRefilledAt = o.now
	const rounding = 1e-3
	if o.linkBytes < -rounding {
		return fmt.Errorf("link: %f bytes above the budget", -o.linkBytes)
	}
	if !request.Recovery && o.linkBytes < burst/2-rounding {
		return fmt.Errorf("reserve: new work left %f of %f bytes reserved for continuations", o.linkBytes, burst/2)
	}
	return nil
}

// checkInvariants checks the state of the core between two steps.
func (o *oracle) checkInvariants() error {
	running := map[api.EndpointID]int{}
	drafts := map[api.EndpointID]int{}
	for id, endpoint := range o.grantedOn {
		running[endpoint]++
		request := o.requests[id].Request
		if request.Priority == api.PriorityDraft && !request.Recovery {
			drafts[endpoint]++
		}
	}
	for _, id := range o.ids {
		slots := o.config.Endpoints[id].Slots
		if running[id] > slots {
			return fmt.Errorf("slots: %d grants for %d slots on %s", running[id], slots, id)
		}
		if reserved := (slots + 3) / 4; slots > 1 && drafts[id] > slots-reserved {
			return fmt.Errorf("draft-reserve: drafts use %d of %d slots on %s", drafts[id], slots, id)
		}
		version := o.core.endpoints[id].publishedLoad.load.Version
		if version < o.loadVersions[id] {
			return fmt.Errorf("versions: load version of %s decreased from %d to %d", id, o.loadVersions[id], version)
		}
		o.loadVersions[id] = version
	}
	if err := o.checkMarkedServed(); err != nil {
		return err
	}
	return o.checkLookupsServed(running)
}

// checkMarkedServed checks that content of api.IsolationSeparate waits only if no
// engine of the region can take it.
func (o *oracle) checkMarkedServed() error {
	for _, w := range o.core.waiting {
		if w.request.Isolation != api.IsolationSeparate || o.core.mustExpire(o.now, w) {
			continue
		}
		for _, id := range o.ids {
			if o.couldRun(id, w.request) {
				return fmt.Errorf("starved: marked content waits although %s has a free slot", id)
			}
		}
	}
	return nil
}

// checkLookupsServed checks that a lookup waits only if every slot of the service
// is in use, the service is unusable, or it is paused after a refusal.
func (o *oracle) checkLookupsServed(running map[api.EndpointID]int) error {
	for _, w := range o.core.waiting {
		service := o.core.endpoints["s1"]
		if w.request.Priority != api.PriorityLookup || w.request.Kind != api.KindService {
			continue
		}
		usable := service.dispatchable && service.health.state == StateAlive && !service.isModelPaused(o.now, w.request.Model)
		if usable && running["s1"] < 4 && !o.core.mustExpire(o.now, w) {
			return fmt.Errorf("lookups: a lookup waits although its service has a free slot")
		}
	}
	return nil
}

// Guards against sequences of events after which the core violates a property of the
// oracle, such as the slot limit.
func TestCoreProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := runOperations(operationLists.Draw(t, "operations"), mutations{}); err != nil {
			t.Fatal(err)
		}
	})
}
