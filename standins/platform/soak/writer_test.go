package soak_test

import (
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

// servedShare returns the share of outcomes with status 200.
func servedShare(outcomes []world.Outcome) float64 {
	served := 0
	for _, o := range outcomes {
		if o.Status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(len(outcomes))
}

var _ = Describe("Entries of another writer at the addresses of a service's endpoints", func() {
	// Guards against endpoints that get no request while entries which name their addresses
	// are in the store.
	DescribeTable("leave the endpoints in use",
		func(service string, leastShare float64) {
			d := startDeployment(3, 6)
			for i, desk := range d.Desks {
				d.Store.Put("servers", fmt.Sprint("agent-", i), map[string]any{
					"service": service, "address": desk.RegisteredAddress(), "zone": desk.Domain, "version": "v7", "slots": 1, "state": "ready",
					"sequence": 1, "born": time.Now().UnixMilli(),
				})
			}
			time.Sleep(2 * time.Second) // until all instances have read the entries
			share := servedShare(sendFor(d, world.KindOrder, 4*time.Second))
			GinkgoWriter.Printf("%.3f of the orders were served\n", share)
			Expect(share).To(BeNumerically(">=", leastShare))
		},
		Entry("with a service that no configuration lists", "host-agent", 1.0),
		// The users' bound for a kind of request.
		Entry("with the service of the endpoints", "desk", 0.25),
	)
})
