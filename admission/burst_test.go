package admission_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/admission"
	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

// Properties of the simulated engines and load, as measured on a deployment with 86
// instances.
const (
	simStep        = 10 * time.Millisecond
	engineCapacity = 88000 // tokens
	engineSlots    = 12
	prefillPerMS   = 8 // tokens
	prefillChunk   = 200
	meanPrompt     = 8200
	outputTokens   = 780
	reportDelay    = 200 * time.Millisecond
	burstStart     = 8 * time.Second
	burstLength    = 6 * time.Second
	simLength      = 22 * time.Second // until the last arrival
	drainTime      = 40 * time.Second
)

// simRoute is a route of the simulated load.
type simRoute struct {
	name    string
	rank    int
	target  time.Duration
	timeout time.Duration
	rate    float64 // requests a second outside the burst
}

var (
	urgentRoute  = simRoute{"urgent", 0, 4 * time.Second, 25 * time.Second, 4}
	relaxedRoute = simRoute{"relaxed", 2, 10 * time.Second, 25 * time.Second, 53}
)

// simRequest is a simulated request of a caller.
type simRequest struct {
	request      admission.Request
	route        simRoute
	instance     *simInstance
	account      int
	inBurst      bool
	prompt       int
	prefillLeft  float64 // tokens
	decodeLeft   float64 // tokens
	lease        *balance.Lease
	backup       *balance.Lease
	queued       bool
	refused      *reason.Error
	placedAt     time.Duration
	firstEventAt time.Duration
	endedAt      time.Duration
}

func (r *simRequest) tokens() int { return r.prompt + outputTokens }

// simEngine runs its generations in one batch, and prefills one prompt after the other in
// chunks between the decoding steps.
type simEngine struct {
	slowness         float64
	waiting, running []*simRequest
	backupTokens     int // of generations that have begun
	comingBackups    int // tokens of backups whose generation has not begun
	overMemory       int // steps with more running generations and backups than memory
	reports          []balance.Load
}

func (e *simEngine) runningTokens() int {
	total := e.backupTokens
	for _, r := range e.running {
		total += r.tokens()
	}
	return total
}

func (e *simEngine) step(now time.Duration) (done []*simRequest) {
	if e.runningTokens() > engineCapacity {
		e.overMemory++
	}
	for len(e.waiting) > 0 && len(e.running) < engineSlots && e.runningTokens()+e.waiting[0].tokens() <= engineCapacity {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	stepMS := (4.63 + 0.153*float64(len(e.running))) * e.slowness
	chunkMS := 0.0
	var prefilling *simRequest
	for _, r := range e.running {
		if r.prefillLeft > 0 {
			prefilling, chunkMS = r, prefillChunk/prefillPerMS*e.slowness
			break
		}
	}
	steps := float64(simStep.Milliseconds()) / (stepMS + chunkMS)
	for _, r := range e.running {
		if r.prefillLeft <= 0 {
			r.decodeLeft -= steps
		}
	}
	if prefilling != nil {
		if prefilling.prefillLeft -= steps * prefillChunk; prefilling.prefillLeft <= 0 {
			prefilling.firstEventAt = now
		}
	}
	e.running = slices.DeleteFunc(e.running, func(r *simRequest) bool {
		if r.decodeLeft <= 0 {
			done = append(done, r)
		}
		return r.decodeLeft <= 0
	})
	load := balance.Load{Running: len(e.running) + len(e.waiting), Prefilling: len(e.waiting), Tokens: e.runningTokens()}
	for _, r := range e.running {
		if r.prefillLeft > 0 {
			load.Prefilling++
		}
	}
	e.reports = append(e.reports, load)
	return done
}

func (e *simEngine) report() balance.Load {
	at := len(e.reports) - 1 - int(reportDelay/simStep)
	if at < 0 {
		return balance.Load{}
	}
	return e.reports[at]
}

// simInstance is an instance that knows its own requests and the reports it asks for.
type simInstance struct {
	sim         *sim
	balance     *balance.Core
	queue       *admission.Core
	budget      admission.QueryBudget
	waiting     map[string]*simRequest
	nextAttempt time.Duration
	queries     []time.Duration
}

// sim plays the load without a network.
type sim struct {
	random    *rand.Rand // of the instances
	arrivals  *rand.Rand // of the load, so that it is the same with and without the queue
	engines   []*simEngine
	instances []*simInstance
	requests  []*simRequest
	queued    bool // with the admission queue
	burst     float64
}

func newSim(instances, engines int, seed uint64, queued bool) *sim {
	s := &sim{random: rand.New(rand.NewPCG(seed, 0)), arrivals: rand.New(rand.NewPCG(seed, 1)), queued: queued, burst: 2.5}
	for i := range engines {
		e := &simEngine{slowness: 1}
		if i%3 == 0 {
			e.slowness = 1.3
		}
		s.engines = append(s.engines, e)
	}
	domains := []api.FailureDomain{"d1", "d2", "d3", "d4", "d5"}
	regions := map[api.FailureDomain]api.Region{"d1": "r1", "d2": "r1", "d3": "r1", "d4": "r2", "d5": "r2"}
	for i := range instances {
		domain := domains[i%len(domains)]
		core := balance.NewCore(balance.CoreOptions{
			Instance: api.InstanceID(fmt.Sprint("i", i)), Place: api.Place{Region: regions[domain], FailureDomain: domain},
			Regions: regions, LoadControl: queued,
		})
		core.SetKVCapacity("llm", engineCapacity)
		for j := range engines {
			core.Apply(registry.Change{Kind: registry.Added, Endpoint: registry.Endpoint{
				ID: api.EndpointID(fmt.Sprint("e", j)), Incarnation: 1, Service: "llm",
				Address: fmt.Sprint("10.0.0.", j, ":1"), Domain: domains[j/3%len(domains)], Slots: engineSlots,
			}})
		}
		s.instances = append(s.instances, &simInstance{sim: s, balance: core, queue: admission.NewCore(), waiting: make(map[string]*simRequest)})
	}
	return s
}

func (s *sim) engineOf(e registry.Endpoint) *simEngine {
	number, err := strconv.Atoi(strings.TrimPrefix(string(e.ID), "e"))
	if err != nil {
		panic("the simulation has no endpoint " + string(e.ID))
	}
	return s.engines[number]
}

// arrive returns a request of a route. Account 0 sends most of the burst, and accounts 0 to
// 2 half of the usual requests.
func (s *sim) arrive(now time.Duration, route simRoute, burst bool) *simRequest {
	account := s.arrivals.IntN(24)
	switch {
	case burst:
		account = 0
	case s.arrivals.IntN(2) == 0:
		account = s.arrivals.IntN(3)
	}
	prompt := 2000 + s.arrivals.IntN(2*(meanPrompt-2000))
	id := fmt.Sprint("r", len(s.requests))
	r := &simRequest{
		route: route, account: account, inBurst: now >= burstStart && now < burstStart+burstLength+2*time.Second,
		prompt: prompt, prefillLeft: float64(prompt), decodeLeft: outputTokens,
		instance: s.instances[s.arrivals.IntN(len(s.instances))],
		request: admission.Request{
			ID: id, Account: api.AccountID(fmt.Sprint("a", account)), Rank: route.rank, Received: now, Arrived: now,
			Target: route.target, Deadline: now + route.timeout, Tokens: prompt + outputTokens,
		},
	}
	s.requests = append(s.requests, r)
	return r
}

func (i *simInstance) balanceRequest(r *simRequest) balance.Request {
	return balance.Request{
		Service: "llm", Tokens: r.tokens(), Session: r.request.ID, MaxFirstEventDelay: time.Duration(0.6 * float64(r.route.target)),
	}
}

func (i *simInstance) query(now time.Duration, endpoints []registry.Endpoint) (ids []api.EndpointID) {
	for _, e := range endpoints {
		i.queries = append(i.queries, now)
		i.balance.UpdateLoad(now, e, i.sim.engineOf(e).report())
		ids = append(ids, e.ID)
	}
	return ids
}

// submit handles a request that has arrived, like Runner.Admit.
func (i *simInstance) submit(now time.Duration, r *simRequest) {
	if !i.sim.queued {
		i.placeAtOnce(now, r)
		return
	}
	i.queue.RecordArrival(r.request)
	i.budget.Earn()
	if !i.queue.HasAhead(r.request.Rank) {
		if i.try(now, r, i.queue.Limits(now, r.request, engineCapacity), max(2, i.budget.Available(now)), nil) {
			return
		}
	}
	if r.refused = i.queue.Enqueue(now, r.request); r.refused == nil {
		r.queued = true
		i.waiting[r.request.ID] = r
	}
}

// placeAtOnce places a request like package forward without the queue.
func (i *simInstance) placeAtOnce(now time.Duration, r *simRequest) {
	request := i.balanceRequest(r)
	for range 3 {
		candidates := i.balance.Candidates(now, request, 3)
		if len(candidates) == 0 {
			break
		}
		request.Probed = i.query(now, candidates[:1])
		if !i.balance.IsNearlyIdle(now, request, candidates[0]) {
			request.Probed = append(request.Probed, i.query(now, candidates[1:])...)
		}
		if i.balance.HasCapacity(now, request) {
			break
		}
	}
	lease, refusal := i.balance.Choose(now, request)
	if refusal != nil {
		r.refused = refusal
		return
	}
	i.start(now, r, lease)
}

// try attempts to place a request like package forward with the queue.
func (i *simInstance) try(now time.Duration, r *simRequest, limits admission.Limits, maxQueries int, freed []registry.Endpoint) bool {
	request := i.balanceRequest(r)
	request.MaxFirstEventDelay = 0
	request.MaxGenerations, request.MaxPrefills = limits.Generations, limits.Prefills
	known := i.balance.WithRoom(now, request)
	engines := slices.Clone(freed)
	for _, candidate := range i.balance.Candidates(now, request, 6) {
		if !slices.ContainsFunc(engines, func(e registry.Endpoint) bool { return e.ID == candidate.ID }) {
			engines = append(engines, candidate)
		}
	}
	for j := 2; j < len(engines) && engines[1].Domain == engines[0].Domain; j++ {
		engines[1], engines[j] = engines[j], engines[1]
	}
	queries := 0
	for len(engines) > 0 && queries < maxQueries {
		count := min(len(engines), max(1, maxQueries-queries), 2)
		known = append(known, i.query(now, engines[:count])...)
		queries += count
		if i.balance.IsNearlyIdle(now, request, engines[0]) {
			break
		}
		engines = engines[count:]
		best := request
		best.Probed, best.MaxPrefills = known, 1
		if i.balance.HasCapacity(now, best) {
			break
		}
		if request.Probed = known; queries >= 4 && r.request.Rank > 0 && i.balance.HasCapacity(now, request) {
			break
		}
	}
	i.budget.Spend(queries)
	request.Probed = known
	if known == nil {
		request.Probed = []api.EndpointID{}
	}
	lease, refusal := i.balance.Choose(now, request)
	if refusal != nil {
		return false
	}
	i.start(now, r, lease)
	return true
}

func (i *simInstance) start(now time.Duration, r *simRequest, lease *balance.Lease) {
	r.lease, r.placedAt = lease, now
	request := i.balanceRequest(r)
	if r.backup = i.balance.ChooseBackup(now, request, lease.Endpoint); r.backup != nil {
		i.sim.engineOf(r.backup.Endpoint).comingBackups += r.tokens()
	}
	engine := i.sim.engineOf(lease.Endpoint)
	engine.waiting = append(engine.waiting, r)
}

// dispatch places waiting requests like the dispatcher of Runner.
func (i *simInstance) dispatch(now time.Duration) {
	for now >= i.nextAttempt {
		for id, refusal := range i.queue.Expire(now) {
			i.waiting[id].refused = refusal
			delete(i.waiting, id)
		}
		next, ok := i.queue.Next(now)
		if !ok {
			return
		}
		r := i.waiting[next.ID]
		limits := i.queue.QueueLimits(now, next, engineCapacity)
		if !i.try(now, r, limits, i.budget.Available(now), i.queue.TakeFreed(now)) {
			i.nextAttempt = now + time.Duration((0.07+0.06*i.sim.random.Float64())*float64(time.Second))
			return
		}
		delete(i.waiting, next.ID)
		i.queue.Placed(now, next.ID)
	}
}

// end records the end of a request.
func (i *simInstance) end(now time.Duration, r *simRequest) {
	r.endedAt = now
	i.balance.Release(now, r.lease, balance.Completed)
	if r.backup != nil {
		i.sim.engineOf(r.backup.Endpoint).backupTokens -= r.tokens()
		i.balance.Release(now, r.backup, balance.Cancelled)
	}
	i.queue.RecordDuration(now - r.placedAt)
	i.queue.RecordFreed(now, r.lease.Endpoint)
	i.nextAttempt = min(i.nextAttempt, now)
}

// play plays the load. During the burst the relaxed route has burst times its usual rate.
func (s *sim) play() {
	next := map[string]time.Duration{}
	draw := func(now time.Duration, route simRoute, rate float64, burst bool) {
		key := fmt.Sprint(route.name, burst)
		for ; next[key] < now; next[key] += time.Duration(s.arrivals.ExpFloat64() / rate * float64(time.Second)) {
			r := s.arrive(now, route, burst)
			r.instance.submit(now, r)
		}
	}
	next[fmt.Sprint(relaxedRoute.name, true)] = burstStart
	for now := simStep; now < simLength+drainTime; now += simStep {
		if now < simLength {
			draw(now, urgentRoute, urgentRoute.rate, false)
			draw(now, relaxedRoute, relaxedRoute.rate, false)
			if now >= burstStart && now < burstStart+burstLength {
				draw(now, relaxedRoute, relaxedRoute.rate*(s.burst-1), true)
			}
		}
		for _, engine := range s.engines {
			for _, r := range engine.step(now) {
				r.instance.end(now, r)
			}
		}
		for _, r := range s.requests {
			if r.firstEventAt == now && r.lease != nil {
				r.instance.balance.RecordResponse(now, r.lease)
				r.instance.queue.RecordFirstEvent(now - r.placedAt)
				if r.backup != nil {
					target := s.engineOf(r.backup.Endpoint)
					target.comingBackups -= r.tokens()
					target.backupTokens += r.tokens()
				}
			}
		}
		for _, i := range s.instances {
			if s.queued {
				i.dispatch(now)
			}
		}
	}
}

// summary describes the requests that are selected.
type summary struct {
	count, refused, late, held, backups int
	first, total, wait                  []time.Duration
}

func (s *sim) summarize(selected func(r *simRequest) bool) summary {
	var sum summary
	for _, r := range s.requests {
		if !selected(r) {
			continue
		}
		sum.count++
		if r.refused != nil {
			sum.refused++
			continue
		}
		if r.firstEventAt == 0 || r.firstEventAt-r.request.Received > r.route.target {
			sum.late++
		}
		if r.placedAt-r.request.Received > r.route.target/8 {
			sum.held++
		}
		if r.backup != nil {
			sum.backups++
		}
		sum.first = append(sum.first, r.firstEventAt-r.request.Received)
		sum.total = append(sum.total, r.endedAt-r.placedAt)
		sum.wait = append(sum.wait, r.placedAt-r.request.Received)
	}
	for _, list := range [][]time.Duration{sum.first, sum.total, sum.wait} {
		slices.Sort(list)
	}
	return sum
}

func quantile(list []time.Duration, share float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	return list[min(len(list)-1, int(share*float64(len(list))))].Round(10 * time.Millisecond)
}

func (s summary) String() string {
	return fmt.Sprintf("%d requests, %d refused, %d late, %d held, %d backups, first event %v/%v, stream %v/%v, wait %v/%v (median/95%%)",
		s.count, s.refused, s.late, s.held, s.backups, quantile(s.first, 0.5), quantile(s.first, 0.95),
		quantile(s.total, 0.5), quantile(s.total, 0.95), quantile(s.wait, 0.5), quantile(s.wait, 0.95))
}

// playSeeds plays the load with several seeds.
func playSeeds(instances, engines int, queued bool) *sim {
	all := &sim{}
	for seed := range uint64(4) {
		s := newSim(instances, engines, seed, queued)
		s.play()
		all.requests = append(all.requests, s.requests...)
		all.engines = append(all.engines, s.engines...)
		all.instances = append(all.instances, s.instances...)
	}
	return all
}

// overMemory returns the time for which an engine has more generations and backups than
// memory, on average.
func (s *sim) overMemory() time.Duration {
	steps := 0
	for _, e := range s.engines {
		steps += e.overMemory
	}
	return time.Duration(steps) * simStep / time.Duration(len(s.engines))
}

// Load: 57 generations a second at 150 engines, a third of which are slow. For 6 s an
// account sends 80 a second in addition, which is more than the engines serve. 86
// instances know only their own requests and the reports that they ask for.
var _ = Describe("A burst of the less urgent route", Ordered, func() {
	var with, without *sim
	BeforeAll(func() {
		with, without = playSeeds(86, 150, true), playSeeds(86, 150, false)
		reportPlay("without the queue", without)
		reportPlay("with the queue", with)
	})

	// Guards against urgent requests that wait behind the burst.
	It("leaves the urgent requests on time", func() {
		queued, direct := with.summarize(selections["urgent"]), without.summarize(selections["urgent"])
		Expect(queued.refused).To(BeZero())
		Expect(queued.late).To(BeNumerically("<=", direct.late*40/100))
		Expect(queued.late).To(BeNumerically("<=", queued.count*12/100))
	})

	// Guards against streams that are all slower because each request is sent on at once.
	It("waits rather than slowing others down", func() {
		queued, direct := with.summarize(selections["relaxed"]), without.summarize(selections["relaxed"])
		Expect(quantile(queued.total, 0.5)).To(BeNumerically("<=", quantile(direct.total, 0.5)*9/10))
		Expect(quantile(queued.total, 0.95)).To(BeNumerically("<=", quantile(direct.total, 0.95)*9/10))
		Expect(quantile(queued.first, 0.95)).To(BeNumerically("<=", relaxedRoute.target))
		Expect(queued.late).To(BeNumerically("<=", direct.late))
	})

	// Guards against small accounts that wait for the burst of a large one.
	It("doesn't starve the small accounts", func() {
		small, all := with.summarize(selections["small accounts"]), with.summarize(selections["relaxed"])
		Expect(float64(small.late+small.refused) / float64(small.count)).To(BeNumerically("<=", 1.2*float64(all.late+all.refused)/float64(all.count)))
	})

	// Guards against engines that run out of memory because of backups and of requests
	// of other instances.
	It("keeps the engines within their memory better than without the queue", func() {
		Expect(with.overMemory()).To(BeNumerically("<=", without.overMemory()/2))
	})

	// Guards against refusals of requests that could be served.
	It("refuses few requests, all of which did not run and may return", func() {
		queued := with.summarize(selections["relaxed"])
		Expect(queued.refused).To(BeNumerically("<=", queued.count*5/100))
		for _, r := range with.requests {
			if r.refused == nil {
				continue
			}
			Expect(r.refused.Reason).To(Equal(reason.Overloaded))
			Expect(r.refused.Run).To(Equal(reason.RunNo))
			Expect(r.refused.RetryAfter).To(BeNumerically(">=", 200*time.Millisecond))
			Expect(r.refused.RetryAfter).To(BeNumerically("<=", r.route.timeout/3))
		}
	})

	// Guards against delays, and against streams without a backup, while engines have room.
	It("places requests at once before the burst, with a backup", func() {
		before := with.summarize(selections["before"])
		Expect(before.refused).To(BeZero())
		Expect(before.held).To(BeNumerically("<=", before.count/100))
		Expect(before.backups).To(BeNumerically(">=", before.count*90/100))
	})

	// Guards against waiting requests that query engines over and over.
	It("makes at most a fifth more queries than without the queue, and 10 a second from an instance over 10 s", func() {
		const window = 10 * time.Second
		queries := func(s *sim) (total int) {
			for _, i := range s.instances {
				total += len(i.queries)
			}
			return total
		}
		Expect(queries(with)).To(BeNumerically("<=", queries(without)*12/10))
		busiest := 0
		for _, i := range with.instances {
			from := 0
			for at, q := range i.queries {
				for q-i.queries[from] >= window {
					from++
				}
				busiest = max(busiest, at-from+1)
			}
		}
		AddReportEntry(fmt.Sprintf("at most %d queries of an instance in %v", busiest, window))
		Expect(busiest).To(BeNumerically("<=", 10*int(window.Seconds())))
	})
})

// Load: the same at 224 engines and 25 instances, which are busy but have room. Guards
// against requests that are held because an instance may not ask enough engines.
var _ = Describe("A burst that the engines can serve", func() {
	It("is hardly held, and refuses nobody", func() {
		with, without := playSeeds(25, 224, true), playSeeds(25, 224, false)
		reportPlay("without the queue", without)
		reportPlay("with the queue", with)
		queued := with.summarize(selections["relaxed"])
		Expect(queued.refused).To(BeNumerically("<=", queued.count/1000))
		Expect(queued.late).To(BeNumerically("<=", queued.count/1000))
		Expect(queued.held).To(BeNumerically("<=", queued.count*10/100))
		Expect(queued.backups).To(BeNumerically(">=", without.summarize(selections["relaxed"]).backups*12/10))
		Expect(with.summarize(selections["urgent"]).late).To(BeNumerically("<=", without.summarize(selections["urgent"]).late/2))
	})
})

// reportPlay adds the results of a play to the report of the test.
func reportPlay(name string, s *sim) {
	queries := 0
	for _, i := range s.instances {
		queries += len(i.queries)
	}
	text := fmt.Sprintf("%s: engines over their memory for %v, %d queries\n", name, s.overMemory(), queries)
	for _, name := range slices.Sorted(maps.Keys(selections)) {
		text += fmt.Sprintf("%s: %v\n", name, s.summarize(selections[name]))
	}
	AddReportEntry(text)
}

// selections are the requests of the load by name.
var selections = map[string]func(*simRequest) bool{
	"before":         func(r *simRequest) bool { return r.request.Received < burstStart },
	"urgent":         func(r *simRequest) bool { return r.inBurst && r.route.rank == 0 },
	"relaxed":        func(r *simRequest) bool { return r.inBurst && r.route.rank > 0 },
	"small accounts": func(r *simRequest) bool { return r.inBurst && r.route.rank > 0 && r.account > 2 },
	"after":          func(r *simRequest) bool { return r.request.Received > burstStart && !r.inBurst },
}
