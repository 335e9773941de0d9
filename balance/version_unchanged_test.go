package balance_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

// choicesBefore is the digest of the choices at commit bcfe128.
const choicesBefore = "bb31ba127a633005"

// choicesDigest plays random requests, load reports, failures and restarts, and returns the
// digest of all choices. version returns the version of the i-th engine.
func choicesDigest(version func(i int) string) string {
	random := rand.New(rand.NewPCG(1, 1))
	digest := fnv.New64a()
	core := newCore("i", 0)
	endpoints := make([]registry.Endpoint, 24)
	for i := range endpoints {
		endpoints[i] = engine(i)
		endpoints[i].Slots, endpoints[i].Version = 12, version(i)
		core.Apply(registry.Change{Kind: registry.Added, Endpoint: endpoints[i]})
	}
	core.SetKVCapacity("llm", 88000)
	var leases []*balance.Lease
	for step := range 6000 {
		now := time.Duration(step) * 7 * time.Millisecond
		request := balance.Request{Service: "llm", Tokens: 4000 + random.IntN(8000), Session: fmt.Sprint(random.IntN(400))}
		if random.IntN(3) == 0 {
			request.MaxFirstEventDelay = time.Second
		}
		for _, candidate := range core.Candidates(now, request, 3) {
			core.UpdateLoad(now, candidate, balance.Load{Running: random.IntN(8), Prefilling: random.IntN(3), Tokens: random.IntN(70000)})
			request.Probed = append(request.Probed, candidate.ID)
		}
		_, _ = fmt.Fprint(digest, request.Probed, core.HasCapacity(now, request), core.PreferredEndpoints(now, "llm", request.Session)[0].ID)
		lease, err := core.Choose(now, request)
		if err != nil {
			_, _ = fmt.Fprint(digest, err.Reason, err.RetryAfter)
		} else {
			_, _ = fmt.Fprint(digest, lease.Endpoint.ID, lease.Load)
			leases = append(leases, lease)
			if backup := core.ChooseBackup(now, request, lease.Endpoint); backup != nil {
				_, _ = fmt.Fprint(digest, backup.Endpoint.ID)
				leases = append(leases, backup)
			}
		}
		for len(leases) > 60 {
			i := random.IntN(len(leases))
			core.RecordResponse(now, leases[i])
			core.Release(now, leases[i], balance.Outcome(random.IntN(20)/14*random.IntN(7)))
			leases = slices.Delete(leases, i, i+1)
		}
		if random.IntN(50) == 0 {
			i := random.IntN(len(endpoints))
			core.Apply(registry.Change{Kind: registry.Gone, Endpoint: endpoints[i]})
			endpoints[i].ID = api.EndpointID(fmt.Sprint("e", i, "-", step))
			endpoints[i].Incarnation++
			core.Apply(registry.Change{Kind: registry.Added, Endpoint: endpoints[i]})
		}
	}
	return fmt.Sprintf("%016x", digest.Sum64())
}

var _ = Describe("Choices", func() {
	// Guards against rollouts, load control or zone overflow that act although they are off.
	It("are those of commit bcfe128 for requests without restrictions", func() {
		Expect(choicesDigest(func(int) string { return "" })).To(Equal(choicesBefore))
		Expect(choicesDigest(func(i int) string { return fmt.Sprint("v", i%2) })).To(Equal(choicesBefore))
	})
})
