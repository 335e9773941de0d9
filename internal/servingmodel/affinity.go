package servingmodel

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/placement"
)

// AffinityOptions describes one run of the affinity model: requests with the
// same house rules and one of several long tables, on engines whose caches
// hold some of the tables.
type AffinityOptions struct {
	UseAffinity bool
	Instances   int
	Engines     int
	Slots       int
	Documents   int
	Requests    int
	Seed        uint64
}

// DefaultAffinityOptions returns the setting of the measurements.
func DefaultAffinityOptions(affinity bool, seed uint64) AffinityOptions {
	return AffinityOptions{UseAffinity: affinity, Instances: 6, Engines: 18, Slots: 16, Documents: 48, Requests: 20000, Seed: seed}
}

// AffinityResult is the outcome of one run.
type AffinityResult struct {
	// HitShare is the part of the prompt blocks that were cached.
	HitShare float64
	// Imbalance is the most loaded engine's running generations relative to the
	// mean, averaged over the run.
	Imbalance      float64
	WaitedRequests int
}

const (
	rulesBlocks  = 4
	tableBlocks  = 28
	uniqueBlocks = 4
	// cacheTables is how many tables an engine's cache holds.
	cacheTables = 6
	utilization = 0.6
)

// blockCache is an engine's cache of prompt blocks, least recently used first
// out.
type blockCache struct {
	order  *list.List
	blocks map[uint64]*list.Element
}

func newBlockCache() *blockCache {
	return &blockCache{order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// use returns the leading blocks that are cached and stores all of them.
func (c *blockCache) use(blocks []uint64) int {
	hits := 0
	for hits < len(blocks) && c.blocks[blocks[hits]] != nil {
		hits++
	}
	for _, block := range blocks {
		if element := c.blocks[block]; element != nil {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.order.PushFront(block)
	}
	for c.order.Len() > cacheTables*(rulesBlocks+tableBlocks+uniqueBlocks) {
		oldest := c.order.Back()
		delete(c.blocks, c.order.Remove(oldest).(uint64))
	}
	return hits
}

type affinityRun struct {
	options AffinityOptions
	time    *timeline
	random  *rand.Rand
	zipf    *rand.Zipf
	cores   []*placement.Core
	caches  map[api.EndpointID]*blockCache
	running map[api.EndpointID]int
	blocks  map[uint64][]uint64
	nextID  uint64
	hits    int
	total   int
	ratio   float64
	samples int
	waited  int
}

// SimulateAffinity runs the model once.
func SimulateAffinity(o AffinityOptions) AffinityResult {
	r := &affinityRun{
		options: o, time: newTimeline(), random: rand.New(rand.NewPCG(o.Seed, 3)),
		caches: make(map[api.EndpointID]*blockCache), running: make(map[api.EndpointID]int), blocks: make(map[uint64][]uint64),
	}
	r.zipf = rand.NewZipf(r.random, 1.1, 3, uint64(o.Documents-1))
	var engines []api.Endpoint
	for i := range o.Engines {
		e := engine(i, o.Slots, localPlace)
		engines = append(engines, e)
		r.caches[e.ID] = newBlockCache()
	}
	config := configuration(engines)
	for i := range o.Instances {
		id := api.InstanceID(string(rune('a' + i)))
		core := placement.NewCore(placement.CoreOptions{Instance: id, Half: modelHalf, Place: localPlace, Seed: o.Seed})
		core.Step(r.time.now, placement.ConfigChanged{Config: config})
		r.cores = append(r.cores, core)
	}
	r.time.every(500*time.Millisecond, r.report)
	r.arrive()
	// Each request takes 5 s on average.
	duration := float64(o.Requests) / r.rate()
	r.time.runUntil(modelStart + time.Duration(duration*float64(time.Second)))
	return AffinityResult{
		HitShare:       float64(r.hits) / float64(max(1, r.total)),
		Imbalance:      r.ratio / float64(max(1, r.samples)),
		WaitedRequests: r.waited,
	}
}

const meanGeneration = 5 * time.Second

func (r *affinityRun) rate() float64 {
	return utilization * float64(r.options.Engines*r.options.Slots) / meanGeneration.Seconds()
}

// report sends every instance the load of every engine and takes a sample.
func (r *affinityRun) report() {
	sum, highest := 0, 0
	for _, count := range r.running {
		sum += count
		highest = max(highest, count)
	}
	if sum > 0 {
		r.ratio += float64(highest) * float64(r.options.Engines) / float64(sum)
		r.samples++
	}
	for i, core := range r.cores {
		r.apply(i, core.Step(r.time.now, placement.Tick{}))
		for id, count := range r.running {
			load := placement.LoadReported{Endpoint: id, Running: count, Tokens: count * meanTokens, Age: time.Millisecond}
			r.apply(i, core.Step(r.time.now, load))
		}
	}
}

const meanTokens = 77

func (r *affinityRun) arrive() {
	gap := r.random.ExpFloat64() / r.rate()
	r.time.after(time.Duration(gap*float64(time.Second)), func() {
		r.request()
		r.arrive()
	})
}

func (r *affinityRun) request() {
	r.nextID++
	id := r.nextID
	r.blocks[id] = r.prompt(r.zipf.Uint64())
	request := api.PlacementRequest{
		Kind: api.KindEngine, Model: modelRef, Account: "a", Priority: api.PriorityInteractive, Tokens: meanTokens,
	}
	if r.options.UseAffinity {
		request.PrefixBlocks = r.blocks[id]
	}
	i := r.random.IntN(len(r.cores))
	actions := r.cores[i].Step(r.time.now, placement.PlacementRequested{ID: id, Request: request})
	if len(actions) == 0 {
		r.waited++
	}
	r.apply(i, actions)
}

// prompt returns the blocks of the rules, a table and a part of its own.
func (r *affinityRun) prompt(table uint64) []uint64 {
	blocks := make([]uint64, 0, rulesBlocks+tableBlocks+uniqueBlocks)
	for i := range rulesBlocks {
		blocks = append(blocks, uint64(i+1))
	}
	for i := range tableBlocks {
		blocks = append(blocks, (table+1)<<32|uint64(i))
	}
	for range uniqueBlocks {
		blocks = append(blocks, r.random.Uint64())
	}
	return blocks
}

func (r *affinityRun) apply(i int, actions []placement.Action) {
	for _, action := range append([]placement.Action(nil), actions...) {
		granted, ok := action.(placement.PlacementGranted)
		if !ok {
			continue
		}
		id := granted.Grant.ID
		engine := granted.Grant.Endpoint.ID
		r.hits += r.caches[engine].use(r.blocks[id])
		r.total += len(r.blocks[id])
		delete(r.blocks, id)
		r.running[engine]++
		service := time.Duration(r.random.ExpFloat64() * float64(meanGeneration))
		r.time.after(service, func() {
			r.running[engine]--
			r.apply(i, r.cores[i].Step(r.time.now, placement.GrantReleased{ID: id, Outcome: api.OutcomeCompleted}))
		})
	}
}
