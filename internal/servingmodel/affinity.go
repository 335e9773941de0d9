package servingmodel

import (
	"container/list"
	"math/rand/v2"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/placement"
)

// AffinityOptions configures one run of the affinity simulation: requests with the same
// system prompt and one of several long documents, on engines whose prefix caches
// hold some of the documents.
type AffinityOptions struct {
	UseAffinity bool
	Instances   int
	Engines     int
	Slots       int
	Documents   int
	Requests    int
	Seed        uint64
}

// DefaultAffinityOptions returns the options of the benchmarks.
func DefaultAffinityOptions(affinity bool, seed uint64) AffinityOptions {
	return AffinityOptions{UseAffinity: affinity, Instances: 6, Engines: 18, Slots: 16, Documents: 48, Requests: 20000, Seed: seed}
}

// AffinityResult is the result of one run.
type AffinityResult struct {
	// HitShare is the share of the prompt blocks that were found in a cache.
	HitShare float64
	// LoadImbalance is the number of generations on the most loaded engine,
	// relative to the mean of all engines, averaged over the run.
	LoadImbalance float64
	// WaitedRequests is the number of requests that were not granted immediately.
	WaitedRequests int
}

const (
	// A prompt consists of blocks of the common system prompt, of one document, and
	// of the user's own text.
	systemPromptBlocks = 4
	documentBlocks     = 28
	userBlocks         = 4
	// cachedDocuments is the number of documents that an engine's cache holds.
	cachedDocuments = 6
	// targetUtilization is the mean share of slots in use.
	targetUtilization = 0.6
	// The documents of the requests have a Zipf distribution.
	documentZipfExponent = 1.1
	documentZipfOffset   = 3
	// loadReportInterval is the time between two load reports to every instance.
	loadReportInterval = 500 * time.Millisecond
)

// blockCache is an LRU cache of prompt blocks, as a model of an engine's prefix
// cache.
type blockCache struct {
	recency *list.List
	blocks  map[uint64]*list.Element
}

func newBlockCache() *blockCache {
	return &blockCache{recency: list.New(), blocks: make(map[uint64]*list.Element)}
}

// access returns the number of leading blocks that are cached, and stores all
// blocks.
func (c *blockCache) access(blocks []uint64) int {
	hits := 0
	for hits < len(blocks) && c.blocks[blocks[hits]] != nil {
		hits++
	}
	for _, block := range blocks {
		if element := c.blocks[block]; element != nil {
			c.recency.MoveToFront(element)
			continue
		}
		c.blocks[block] = c.recency.PushFront(block)
	}
	for c.recency.Len() > cachedDocuments*(systemPromptBlocks+documentBlocks+userBlocks) {
		oldest := c.recency.Back()
		delete(c.blocks, c.recency.Remove(oldest).(uint64))
	}
	return hits
}

type affinitySimulation struct {
	options              AffinityOptions
	scheduler            *scheduler
	random               *rand.Rand
	documentDistribution *rand.Zipf
	cores                []*placement.Core
	caches               map[api.EndpointID]*blockCache
	runningOn            map[api.EndpointID]int
	promptBlocks         map[uint64][]uint64
	nextID               uint64
	cachedBlocks         int
	placedBlocks         int
	imbalanceSum         float64
	imbalanceSamples     int
	waitedRequests       int
}

// SimulateAffinity runs the affinity simulation once.
func SimulateAffinity(o AffinityOptions) AffinityResult {
	r := &affinitySimulation{
		options: o, scheduler: newScheduler(), random: rand.New(rand.NewPCG(o.Seed, affinityStream)),
		caches: make(map[api.EndpointID]*blockCache), runningOn: make(map[api.EndpointID]int), promptBlocks: make(map[uint64][]uint64),
	}
	r.documentDistribution = rand.NewZipf(r.random, documentZipfExponent, documentZipfOffset, uint64(o.Documents-1))
	var engines []api.Endpoint
	for i := range o.Engines {
		e := newEngine(i, o.Slots, localPlace)
		engines = append(engines, e)
		r.caches[e.ID] = newBlockCache()
	}
	config := newConfig(engines)
	for i := range o.Instances {
		id := api.InstanceID(string(rune('a' + i)))
		core := placement.NewCore(placement.CoreOptions{Instance: id, Half: simulatedHalf, Place: localPlace, Seed: o.Seed})
		core.Step(r.scheduler.now, placement.ConfigChanged{Config: config})
		r.cores = append(r.cores, core)
	}
	r.scheduler.every(loadReportInterval, r.tickAndReportLoads)
	r.scheduleArrival()
	// The run ends when the expected number of requests has arrived.
	duration := float64(o.Requests) / r.requestsPerSecond()
	r.scheduler.runUntil(simulationStart + time.Duration(duration*float64(time.Second)))
	return AffinityResult{
		HitShare:       float64(r.cachedBlocks) / float64(max(1, r.placedBlocks)),
		LoadImbalance:  r.imbalanceSum / float64(max(1, r.imbalanceSamples)),
		WaitedRequests: r.waitedRequests,
	}
}

// meanServiceTime is the mean time that a generation holds a slot.
const meanServiceTime = 5 * time.Second

func (r *affinitySimulation) requestsPerSecond() float64 {
	return targetUtilization * float64(r.options.Engines*r.options.Slots) / meanServiceTime.Seconds()
}

// tickAndReportLoads samples the load imbalance, ticks the core of every instance and
// sends it the load of every engine.
func (r *affinitySimulation) tickAndReportLoads() {
	sum, highest := 0, 0
	for _, count := range r.runningOn {
		sum += count
		highest = max(highest, count)
	}
	if sum > 0 {
		r.imbalanceSum += float64(highest) * float64(r.options.Engines) / float64(sum)
		r.imbalanceSamples++
	}
	for i, core := range r.cores {
		r.performActions(i, core.Step(r.scheduler.now, placement.Tick{}))
		for id, count := range r.runningOn {
			load := placement.LoadReported{Endpoint: id, Running: count, OutstandingTokens: count * meanRequestTokens, Age: time.Millisecond}
			r.performActions(i, core.Step(r.scheduler.now, load))
		}
	}
}

// meanRequestTokens is the number of tokens generated in meanServiceTime at
// timePerToken.
const meanRequestTokens = 77

func (r *affinitySimulation) scheduleArrival() {
	gapSeconds := r.random.ExpFloat64() / r.requestsPerSecond()
	r.scheduler.after(time.Duration(gapSeconds*float64(time.Second)), func() {
		r.placeRequest()
		r.scheduleArrival()
	})
}

func (r *affinitySimulation) placeRequest() {
	r.nextID++
	id := r.nextID
	r.promptBlocks[id] = r.newPrompt(r.documentDistribution.Uint64())
	request := api.PlacementRequest{
		Kind: api.KindEngine, Model: modelRef, Account: "a", Priority: api.PriorityInteractive, Tokens: meanRequestTokens,
	}
	if r.options.UseAffinity {
		request.PrefixBlocks = r.promptBlocks[id]
	}
	i := r.random.IntN(len(r.cores))
	actions := r.cores[i].Step(r.scheduler.now, placement.PlacementRequested{ID: id, Request: request})
	if len(actions) == 0 {
		r.waitedRequests++
	}
	r.performActions(i, actions)
}

// newPrompt returns the blocks of the system prompt, a document and a unique part.
func (r *affinitySimulation) newPrompt(document uint64) []uint64 {
	blocks := make([]uint64, 0, systemPromptBlocks+documentBlocks+userBlocks)
	for i := range systemPromptBlocks {
		blocks = append(blocks, uint64(i+1))
	}
	for i := range documentBlocks {
		blocks = append(blocks, (document+1)<<32|uint64(i))
	}
	for range userBlocks {
		blocks = append(blocks, r.random.Uint64())
	}
	return blocks
}

func (r *affinitySimulation) performActions(i int, actions []placement.Action) {
	for _, action := range append([]placement.Action(nil), actions...) {
		granted, ok := action.(placement.PlacementGranted)
		if !ok {
			continue
		}
		id := granted.Grant.ID
		engine := granted.Grant.Endpoint.ID
		r.cachedBlocks += r.caches[engine].access(r.promptBlocks[id])
		r.placedBlocks += len(r.promptBlocks[id])
		delete(r.promptBlocks, id)
		r.runningOn[engine]++
		service := time.Duration(r.random.ExpFloat64() * float64(meanServiceTime))
		r.scheduler.after(service, func() {
			r.runningOn[engine]--
			r.performActions(i, r.cores[i].Step(r.scheduler.now, placement.GrantReleased{ID: id, Outcome: api.OutcomeCompleted}))
		})
	}
}
