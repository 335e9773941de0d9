package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

// newLargeCore returns the core of an instance in a failure domain, with 50 engines in
// each of six failure domains in two regions.
func newLargeCore(domain int) *Core {
	regions := make(map[api.FailureDomain]api.Region)
	for d := range 6 {
		regions[largeDomain(d)] = api.Region(fmt.Sprint(d % 2))
	}
	place := api.Place{FailureDomain: largeDomain(domain), Region: regions[largeDomain(domain)]}
	c := NewCore(CoreOptions{Instance: "i", Place: place, Regions: regions, OnSuspect: func(registry.Endpoint) {}})
	c.SetKVCapacity("llm", 88_000)
	for i := range 300 {
		c.Apply(registry.Change{Kind: registry.Added, Endpoint: registry.Endpoint{
			ID: api.EndpointID(fmt.Sprintf("engine-%d", i)), Incarnation: 1, Service: "llm", Slots: 12, Domain: largeDomain(i % 6),
		}})
	}
	return c
}

func largeDomain(number int) api.FailureDomain { return api.FailureDomain(fmt.Sprintf("d%d", number)) }

// Guards against a wave of returning callers for whom each instance asks all engines of
// a large service, and against streams whose engine is not among those that are asked.
// 60 instances place generations, with a load of a quarter of the slots, by the loads
// that three candidates report.
func TestPreferredEndpointsHoldTheGenerationsOfASession(t *testing.T) {
	const generations = 4000
	random := rand.New(rand.NewPCG(1, 1))
	var cores []*Core
	for i := range 60 {
		cores = append(cores, newLargeCore(i%6))
	}
	loads := make(map[api.EndpointID]Load)
	var running []*Lease
	found, asked := 0, 0
	for n := range generations {
		now := time.Duration(n) * 10 * time.Millisecond
		placing, session := cores[random.IntN(len(cores))], fmt.Sprint("session-", n)
		request := Request{Service: "llm", Tokens: 8800, Session: session}
		for _, candidate := range placing.Candidates(now, request, 3) {
			placing.UpdateLoad(now, candidate, loads[candidate.ID])
			request.Probed = append(request.Probed, candidate.ID)
		}
		lease, err := placing.Choose(now, request)
		if err != nil {
			t.Fatal(err)
		}
		request.Probed = nil
		holders := []api.EndpointID{lease.Endpoint.ID}
		if backup := placing.ChooseBackup(now, request, lease.Endpoint); backup != nil {
			holders = append(holders, backup.Endpoint.ID)
			running = append(running, backup)
		}
		running = append(running, lease)
		for _, id := range holders {
			load := loads[id]
			loads[id] = Load{Running: load.Running + 1, Tokens: load.Tokens + request.Tokens}
		}
		for len(running) > 900 {
			ended := running[0]
			running = running[1:]
			load := loads[ended.Endpoint.ID]
			loads[ended.Endpoint.ID] = Load{Running: load.Running - 1, Tokens: load.Tokens - 8800}
			ended.end()
		}

		resuming := cores[random.IntN(len(cores))]
		preferred := resuming.PreferredEndpoints(now, "llm", session)
		asked = max(asked, len(preferred))
		if slices.ContainsFunc(preferred, func(e registry.Endpoint) bool { return slices.Contains(holders, e.ID) }) {
			found++
		}
	}
	t.Logf("holders found for %d of %d, %d engines asked", found, generations, asked)
	if asked > 6*preferredPerDomain {
		t.Errorf("%d engines are asked for one session", asked)
	}
	if share := float64(found) / generations; share < 0.95 {
		t.Errorf("a holder was among the engines that are asked for %.3f of the generations, want 0.95", share)
	}
}
