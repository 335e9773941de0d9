package placement

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// benchCore returns a core with engines that serve seven models, and requests for
// these models in groups that share a prefix.
func benchCore(endpoints int) (*Core, []api.PlacementRequest) {
	core := NewCore(CoreOptions{Instance: "i1", Half: testHalf, Place: testPlace, Seed: 7})
	var list []api.Endpoint
	for i := range endpoints {
		e := testEngine(fmt.Sprintf("e%04d", i), "east", 64)
		e.Models = []api.ModelRef{{Model: fmt.Sprintf("m%d", i%7)}}
		list = append(list, e)
	}
	core.Step(time.Second, ConfigChanged{Config: testConfig(list...)})
	var requests []api.PlacementRequest
	for i := range 448 {
		request := api.PlacementRequest{
			Kind: api.KindEngine, Model: api.ModelRef{Model: fmt.Sprintf("m%d", i%7)}, Account: "a",
			Priority: api.PriorityInteractive, Tokens: 500,
		}
		for block := range 32 {
			request.PrefixBlocks = append(request.PrefixBlocks, uint64(i/16)<<32|uint64(block+1))
		}
		requests = append(requests, request)
	}
	return core, requests
}

// BenchmarkPlace measures one grant and one release.
func BenchmarkPlace(b *testing.B) {
	for _, endpoints := range []int{24, 840} {
		for _, affinity := range []bool{false, true} {
			b.Run(fmt.Sprintf("endpoints=%d/affinity=%v", endpoints, affinity), func(b *testing.B) {
				core, requests := benchCore(endpoints)
				b.ReportAllocs()
				now := time.Second
				for i := range b.N {
					now += time.Microsecond
					request := requests[i%len(requests)]
					if !affinity {
						request.PrefixBlocks = nil
					}
					id := uint64(i + 1)
					core.Step(now, PlacementRequested{ID: id, Request: request})
					if i >= endpoints {
						core.Step(now, GrantReleased{ID: id - uint64(endpoints), Outcome: api.OutcomeCompleted})
					}
				}
			})
		}
	}
}

// BenchmarkTick measures a tick with 840 endpoints and 330 instances.
func BenchmarkTick(b *testing.B) {
	core, _ := benchCore(840)
	core.Step(time.Second, FleetResized{Instances: 330})
	b.ReportAllocs()
	now := time.Second
	for range b.N {
		now += 20 * time.Millisecond
		core.Step(now, Tick{})
	}
}

// BenchmarkState reports the memory of 840 endpoints and a full table of prefix
// hints.
func BenchmarkState(b *testing.B) {
	before := heapBytes()
	core, requests := benchCore(840)
	for i := range 60000 {
		request := requests[i%len(requests)]
		request.PrefixBlocks = []uint64{uint64(i + 1)}
		core.Step(time.Second, PlacementRequested{ID: uint64(i + 1), Request: request})
	}
	for range b.N {
		core.Step(time.Second, Tick{})
	}
	b.ReportMetric(float64(heapBytes()-before)/1e6, "MB")
	runtime.KeepAlive(core)
}

func heapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkRunnerPlace measures Place and Release through the runner's message queue.
func BenchmarkRunnerPlace(b *testing.B) {
	config := testConfig(testEngine("e1", "east", 1<<20), testEngine("e2", "east", 1<<20))
	r, err := New(Options{Instance: "i1", Half: testHalf, Place: testPlace, Config: func() *api.Config { return config },
		Clock: func() time.Duration { return time.Second }})
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = r.Run(ctx) }()
	request := interactive()
	b.ReportAllocs()
	for range b.N {
		grant, err := r.Place(ctx, request)
		if err != nil {
			b.Fatal(err)
		}
		r.Release(grant.ID, api.OutcomeCompleted)
	}
}
