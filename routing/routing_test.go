package routing_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/routing"
)

func TestRouting(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "routing")
}

var _ = Describe("Table", func() {
	routes := []routing.Route{
		{Name: "short", Host: "a.example", Prefix: "/a/"},
		{Name: "long", Host: "a.example", Prefix: "/a/b/"},
		{Name: "other", Host: "b.example", Prefix: "/a/"},
	}

	// Guards against matching a shorter prefix or a route of another host.
	DescribeTable("matches the longest prefix of the host",
		func(host, path, want string) {
			route, ok := routing.New(1, routes, nil, nil, routing.Limits{}).Match(host, path)
			Expect(ok).To(Equal(want != ""))
			Expect(route.Name).To(Equal(want))
		},
		Entry("long", "a.example", "/a/b/c", "long"),
		Entry("short", "a.example", "/a/c", "short"),
		Entry("host in capitals", "A.Example", "/a/c", "short"),
		Entry("prefix without its slash", "a.example", "/a", ""),
		Entry("path that shares only the start of the last segment", "a.example", "/ab/", ""),
		Entry("unknown host", "c.example", "/a/", ""),
	)

	// Guards against requests without a key when the configuration has accounts.
	It("finds accounts by key and reports whether keys are required", func() {
		accounts := []routing.Account{{ID: "x", Keys: []string{"k1", "k2"}}}
		t := routing.New(1, nil, nil, accounts, routing.Limits{})
		account, ok := t.Account("k2")
		Expect(ok).To(BeTrue())
		Expect(account.ID).To(BeEquivalentTo("x"))
		_, ok = t.Account("")
		Expect(ok).To(BeFalse())
		Expect(t.RequiresKey()).To(BeTrue())
		Expect(routing.New(1, nil, nil, nil, routing.Limits{}).RequiresKey()).To(BeFalse())
		// With an empty list no key is valid. Only nil means that no key is required.
		Expect(routing.New(1, nil, nil, []routing.Account{}, routing.Limits{}).RequiresKey()).To(BeTrue())
	})

	// Guards against a retry that goes to another service than the first attempt.
	It("distributes requests by weight and selects the same service for a request again", func() {
		route := routing.Route{Services: []routing.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c"}}}
		counts := make(map[string]int)
		for i := range 10000 {
			id := fmt.Sprint("request-", i)
			service := route.SelectService(id)
			Expect(route.SelectService(id)).To(Equal(service))
			counts[service]++
		}
		Expect(counts["b"]).To(BeNumerically("~", 1000, 150))
		Expect(counts["c"]).To(BeZero())
	})
})

var _ = Describe("CurrentTable", func() {
	// Guards against a late response that restores a removed route or key.
	It("never goes back to an older version", func() {
		var current routing.CurrentTable
		Expect(current.Version()).To(BeZero())
		Expect(current.Apply(routing.New(3, nil, nil, nil, routing.Limits{}))).To(BeTrue())
		Expect(current.Apply(routing.New(2, nil, nil, nil, routing.Limits{}))).To(BeFalse())
		Expect(current.Apply(routing.New(3, nil, nil, nil, routing.Limits{}))).To(BeFalse())
		Expect(current.Version()).To(BeEquivalentTo(3))
	})
})
