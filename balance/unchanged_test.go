package balance_test

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/balance"
)

// decisionsOfBcfe128 is the hash of the decisions below, computed with commit bcfe128.
const decisionsOfBcfe128 = "7924c270196ce820"

// Guards against decisions that differ from those of commit bcfe128 although load control
// is off: random requests, reports, backups and failures at 24 engines.
var _ = Describe("Without load control", func() {
	It("makes the decisions of before", func() {
		random := rand.New(rand.NewPCG(7, 0))
		core := newCore("i", 24)
		hash := fnv.New64a()
		var leases []*balance.Lease
		for step := range 20000 {
			now := time.Duration(step) * 20 * time.Millisecond
			switch random.IntN(6) {
			case 0, 1:
				request := newRequest(fmt.Sprint(random.IntN(500)))
				if random.IntN(4) == 0 {
					request.Tokens = 0
				}
				request.MaxFirstEventDelay = time.Duration(random.IntN(3)) * time.Second
				candidates := core.Candidates(now, request, 3)
				for _, candidate := range candidates {
					_, _ = fmt.Fprint(hash, candidate.ID, ";")
					if random.IntN(2) == 0 {
						request.Probed = append(request.Probed, candidate.ID)
						core.UpdateLoad(now, candidate, balance.Load{Running: random.IntN(8), Prefilling: random.IntN(3), Tokens: random.IntN(80000)})
					}
				}
				_, _ = fmt.Fprint(hash, core.HasCapacity(now, request), ";")
				lease, err := core.Choose(now, request)
				if err != nil {
					_, _ = fmt.Fprint(hash, err.Reason, ";")
					continue
				}
				_, _ = fmt.Fprint(hash, lease.Endpoint.ID, lease.Load, lease.Suspected, ";")
				leases = append(leases, lease)
				if backup := core.ChooseBackup(now, request, lease.Endpoint); request.Tokens > 0 && backup != nil {
					_, _ = fmt.Fprint(hash, "backup ", backup.Endpoint.ID, ";")
					leases = append(leases, backup)
				}
			case 2:
				i := random.IntN(24)
				core.UpdateLoad(now, engine(i), balance.Load{Running: random.IntN(10), Prefilling: random.IntN(3), Tokens: random.IntN(88000)})
			case 3:
				if len(leases) > 0 {
					core.RecordResponse(now, leases[random.IntN(len(leases))])
				}
			default:
				if len(leases) == 0 {
					continue
				}
				at := random.IntN(len(leases))
				lease := leases[at]
				leases = append(leases[:at], leases[at+1:]...)
				if random.IntN(8) == 0 {
					core.PromoteBackup(now, lease)
				}
				outcome := balance.Completed
				if random.IntN(20) == 0 {
					outcome = balance.Outcome(random.IntN(int(balance.TimedOut) + 1))
				}
				core.Release(now, lease, outcome)
			}
			_, _ = fmt.Fprint(hash, core.IsAvailable(now, engine(random.IntN(24))), "/")
		}
		Expect(fmt.Sprintf("%x", hash.Sum64())).To(Equal(decisionsOfBcfe128))
	})
})
