package soak_test

import (
	"net/http"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/standins/cutproxy"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/deployment"
)

// storeReaders returns the instances that read the store for their failure domains.
func storeReaders(d *deployment.Deployment) []*deployment.Instance {
	byDomain := make(map[string]map[api.InstanceID]*deployment.Instance)
	for _, instance := range d.Instances {
		if byDomain[instance.Domain] == nil {
			byDomain[instance.Domain] = make(map[api.InstanceID]*deployment.Instance)
		}
		byDomain[instance.Domain][api.InstanceID(instance.Name)] = instance
	}
	var readers []*deployment.Instance
	for _, instances := range byDomain {
		var ids []api.InstanceID
		for id := range instances {
			ids = append(ids, id)
		}
		readers = append(readers, instances[peer.Rank("read", ids)[0]])
	}
	return readers
}

var _ = Describe("A revoked key while the instances that read for others have lost the store", func() {
	// Guards against instances that serve revoked keys since they read through one that
	// is told by them what it told them before.
	DescribeTable("is refused by all instances in time", func(cut func(*cutproxy.Proxy)) {
		d := startDeployment(9, 6)
		time.Sleep(2 * time.Second)
		readers := storeReaders(d)
		Expect(readers).To(HaveLen(3))
		for _, instance := range readers {
			cut(instance.StoreProxy)
		}
		revoked, _ := d.ReplaceAPIKey()
		time.Sleep(applyTimeout)
		for _, instance := range d.Instances {
			Expect(lookUpStatus(d, instance, revoked)).To(Equal(http.StatusUnauthorized), instance.Name)
		}
	},
		Entry("by resets", func(p *cutproxy.Proxy) { p.Cut("") }),
		Entry("by silence", func(p *cutproxy.Proxy) { p.Freeze("", true, cutproxy.Up, cutproxy.Down) }),
	)
})

var _ = Describe("A revoked key after a store that all instances had lost", func() {
	// Guards against an instance that does not ask a store that is back, because it has
	// failed several times before and others would read it first.
	It("is refused in time by the only instance that reaches the store again", func() {
		const (
			outage = 7 * time.Second
			// bound is the time that the settings give a configuration.
			bound = 3500 * time.Millisecond
		)
		d := startDeployment(9, 6)
		time.Sleep(2 * time.Second)
		for _, instance := range d.Instances {
			instance.StoreProxy.Cut("")
		}
		time.Sleep(outage)
		back := otherThan(storeReaders(d), d.Instances)
		back.StoreProxy.Heal("")
		revoked, _ := d.ReplaceAPIKey()
		time.Sleep(bound)
		Expect(lookUpStatus(d, back, revoked)).To(Equal(http.StatusUnauthorized), back.Name)
	})
})

// otherThan returns an instance that is not among the readers.
func otherThan(readers, instances []*deployment.Instance) *deployment.Instance {
	i := slices.IndexFunc(instances, func(instance *deployment.Instance) bool { return !slices.Contains(readers, instance) })
	return instances[i]
}
