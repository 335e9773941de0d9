package balance_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

// newVersionedCore returns a core with engines of which the last ones have version v2.
func newVersionedCore(old, added int) *balance.Core {
	core := newCore("i", 0)
	for i := range old + added {
		e := engine(i)
		e.Version = "v1"
		if i >= old {
			e.Version = "v2"
		}
		core.Apply(registry.Change{Kind: registry.Added, Endpoint: e})
	}
	return core
}

var _ = Describe("Versions", func() {
	choose := func(core *balance.Core, request balance.Request) string {
		lease, err := core.Choose(0, request)
		Expect(err).To(BeNil())
		return lease.Endpoint.Version
	}

	// Guards against a request that reaches a version to which no rollout allows it.
	It("restrict every choice, even if only the other version has capacity", func() {
		core := newVersionedCore(3, 6)
		request := newRequest("s")
		request.Versions = []string{"v1"}
		for i := range 33 {
			request.Session = fmt.Sprint(i)
			for _, candidate := range core.Candidates(0, request, 9) {
				Expect(candidate.Version).To(Equal("v1"))
			}
			Expect(choose(core, request)).To(Equal("v1"))
		}
		_, err := core.Choose(0, request)
		Expect(err.Reason).To(Equal(reason.NoSlot))
		Expect(core.ChooseBackup(0, request, engine(0))).To(BeNil())
		request.Probed = []api.EndpointID{"e8"}
		Expect(core.HasCapacity(0, request)).To(BeFalse())
		request.Versions = []string{"v3"}
		_, err = core.Choose(0, request)
		Expect(err.Reason).To(Equal(reason.NoEndpoint))
	})

	// Guards against a refusal for good although all engines of the version were only tried once.
	It("count only engines of the allowed versions as tried or draining", func() {
		core := newVersionedCore(2, 2)
		request := newRequest("s")
		request.Versions, request.Exclude = []string{"v1"}, []api.EndpointID{"e0", "e1"}
		_, err := core.Choose(0, request)
		Expect(err.Reason).To(Equal(reason.AttemptsExhausted))
	})

	// Guards against a stream that changes the version although its own has engines, and
	// against one that ends since its own has none.
	It("are preferred as long as one of their engines takes the request", func() {
		core := newVersionedCore(8, 1)
		request := newRequest("s")
		request.Versions, request.PreferVersions = []string{"v1", "v2"}, []string{"v2"}
		for range 88000 / promptTokens {
			Expect(core.Candidates(0, request, 9)).To(HaveLen(1))
			Expect(choose(core, request)).To(Equal("v2"))
		}
		Expect(choose(core, request)).To(Equal("v1"))
		core = newVersionedCore(8, 1)
		lease, err := core.Choose(0, request)
		Expect(err).To(BeNil())
		core.Release(time.Millisecond, lease, balance.Unreachable)
		Expect(choose(core, request)).To(Equal("v1"))
	})

	// Guards against a small share of the requests that is spread thinly over all new engines.
	It("leave out the endpoints that are not in use yet", func() {
		core := newVersionedCore(3, 3)
		request := newRequest("s")
		request.Versions, request.HeldBack = []string{"v2"}, map[api.EndpointID]bool{"e4": true, "e5": true}
		Expect(core.Candidates(0, request, 9)).To(HaveLen(1))
		for range 88000 / promptTokens {
			_, err := core.Choose(0, request)
			Expect(err).To(BeNil())
		}
		_, err := core.Choose(0, request)
		Expect(err.Reason).To(Equal(reason.NoSlot))
	})
})
