package balance_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

// choicesWithoutOverflow is the hash of the choices that commit bcfe128 makes in playChoicesWithoutOverflow.
const choicesWithoutOverflow = uint64(4829246939129730685)

// playChoicesWithoutOverflow plays a fixed random load with failures, load reports and restarts on a core
// and returns the hash of all its choices.
func playChoicesWithoutOverflow(seed uint64) uint64 {
	core := newCore("i", 24)
	for i := 100; i < 107; i++ {
		plain := engine(i)
		plain.Service, plain.Slots = "plain", 6
		core.Apply(registry.Change{Kind: registry.Added, Endpoint: plain})
	}
	random := rand.New(rand.NewPCG(seed, 1))
	hash := fnv.New64a()
	var leases []*balance.Lease
	outcomes := []balance.Outcome{balance.Completed, balance.Completed, balance.Completed, balance.Completed, balance.Cancelled,
		balance.Refused, balance.Failed, balance.Interrupted, balance.Unreachable, balance.TimedOut}
	for step := range 20000 {
		now := time.Duration(step) * 7 * time.Millisecond
		request := newRequest(fmt.Sprint("s", random.IntN(50)))
		switch kind := random.IntN(20); {
		case kind == 0:
			core.UpdateLoad(now, engine(random.IntN(24)), balance.Load{Running: random.IntN(6), Prefilling: random.IntN(3), Tokens: random.IntN(60000)})
		case kind == 1:
			restarted := engine(random.IntN(24))
			core.Apply(registry.Change{Kind: registry.Gone, Endpoint: restarted})
			core.Apply(registry.Change{Kind: registry.Added, Endpoint: restarted})
		case kind < 6:
			if random.IntN(2) == 0 {
				request = balance.Request{Service: "plain"}
			}
			if random.IntN(4) == 0 {
				request.MaxFirstEventDelay = 3 * time.Second
			}
			if random.IntN(4) == 0 {
				request.Exclude = []api.EndpointID{engine(random.IntN(24)).ID}
			}
			for _, candidate := range core.Candidates(now, request, 3) {
				fmt.Fprint(hash, candidate.ID, " ")
				request.Probed = append(request.Probed, candidate.ID)
			}
			lease, err := core.Choose(now, request)
			if err != nil {
				fmt.Fprint(hash, err.Reason, " ")
				continue
			}
			fmt.Fprint(hash, lease.Endpoint.ID, "\n")
			leases = append(leases, lease)
			if backup := core.ChooseBackup(now, request, lease.Endpoint); request.Tokens > 0 && backup != nil {
				fmt.Fprint(hash, backup.Endpoint.ID, "\n")
				core.Release(now, backup, balance.Cancelled)
			}
		case kind < 12 && len(leases) > 0:
			core.RecordResponse(now, leases[random.IntN(len(leases))])
		case len(leases) > 0:
			i := random.IntN(len(leases))
			core.Release(now, leases[i], outcomes[random.IntN(len(outcomes))])
			leases = append(leases[:i], leases[i+1:]...)
		}
	}
	return hash.Sum64()
}

var _ = Describe("Core without zone overflow", func() {
	// Guards against a change of the choices when the feature is off.
	It("chooses as commit bcfe128 does under random load, failures, reports and restarts", func() {
		Expect(playChoicesWithoutOverflow(20261206)).To(Equal(choicesWithoutOverflow))
	})
})
