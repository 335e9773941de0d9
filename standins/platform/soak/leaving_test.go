package soak_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/deployment"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

// leavingNotice is the users' bound for requests to an endpoint that has said that it
// leaves.
const leavingNotice = 2500 * time.Millisecond

// sendFor sends requests of a kind to the instance for a time, several at once, and
// returns their outcomes.
func sendFor(d *deployment.Deployment, kind world.RequestKind, duration time.Duration) []world.Outcome {
	var mu sync.Mutex
	var outcomes []world.Outcome
	var group sync.WaitGroup
	until := time.Now().Add(duration)
	for caller := range 6 {
		group.Go(func() {
			for number := 0; time.Now().Before(until); number++ {
				id := fmt.Sprintf("%s-%d-%d-%d", kind, until.UnixNano(), caller, number)
				outcome := world.Send(context.Background(), world.Request{
					AttemptID: id, Kind: kind, Host: deployment.Host, APIKey: d.APIKeys()[0], InstanceAddress: d.Instances[0].CallerAddress,
					Target: fmt.Sprintf("/%s/%s", kind, id), Body: []byte(id), PromptTokens: 100, OutputTokens: 12, Timeout: 5 * time.Second,
				})
				mu.Lock()
				outcomes = append(outcomes, outcome)
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return outcomes
}

// receivedBy returns how many requests the endpoint received from a time on.
func receivedBy(d *deployment.Deployment, e *world.Endpoint, from time.Time) (count int) {
	for _, r := range d.RequestLog.Requests() {
		if r.IncarnationID == e.IncarnationID() && r.ReceivedAt.After(from) {
			count++
		}
	}
	return count
}

var _ = Describe("An endpoint that says in its responses that it leaves", func() {
	// Guards against requests to an endpoint that leaves before the store says so.
	DescribeTable("gets no more requests", func(kind world.RequestKind, endpointOf func(*deployment.Deployment) *world.Endpoint) {
		d := startDeployment(1, 3)
		leaving := endpointOf(d)
		leaving.SetLeaving()
		began := time.Now()
		_ = sendFor(d, kind, time.Second)
		Expect(receivedBy(d, leaving, began)).To(BeNumerically(">", 0))
		time.Sleep(leavingNotice)
		noticed := time.Now()
		for _, outcome := range sendFor(d, kind, 2*time.Second) {
			Expect(outcome.Status).To(Equal(http.StatusOK))
		}
		Expect(receivedBy(d, leaving, noticed)).To(BeZero())
	},
		Entry("of streams", world.KindStream, func(d *deployment.Deployment) *world.Endpoint { return d.Engines[0] }),
		Entry("of orders", world.KindOrder, func(d *deployment.Deployment) *world.Endpoint { return d.Desks[0] }),
		Entry("of lookups", world.KindLookup, func(d *deployment.Deployment) *world.Endpoint { return d.Desks[0] }),
	)
})

var _ = Describe("An endpoint that rejects requests and asks to be left alone", func() {
	const retryAfter = 3 * time.Second
	// maxDisturbances is the users' bound for requests from half a second after a
	// rejection to the end of the time.
	const maxDisturbances = 2

	// disturbances returns the most rejections that followed one rejection within its time.
	disturbances := func(e *world.Endpoint) (most int) {
		rejections := e.Rejections()
		for i, first := range rejections {
			count := 0
			for _, at := range rejections[i+1:] {
				if since := at.Sub(first); since > 500*time.Millisecond && since < retryAfter {
					count++
				}
			}
			most = max(most, count)
		}
		return most
	}

	// Guards against instances that go on sending to an endpoint that has said for how long it wants nothing.
	DescribeTable("gets no requests meanwhile, and some afterwards", func(kind world.RequestKind, endpointOf func(*deployment.Deployment) *world.Endpoint) {
		d := startDeployment(1, 3)
		busy := endpointOf(d)
		busy.SetBusy(retryAfter)
		for _, outcome := range sendFor(d, kind, retryAfter) {
			Expect(outcome.Status).To(Equal(http.StatusOK))
		}
		Expect(busy.Rejections()).NotTo(BeEmpty())
		Expect(disturbances(busy)).To(BeNumerically("<=", maxDisturbances))
		busy.SetBusy(0)
		time.Sleep(retryAfter)
		began := time.Now()
		_ = sendFor(d, kind, time.Second)
		Expect(receivedBy(d, busy, began)).To(BeNumerically(">", 0))
	},
		Entry("of streams", world.KindStream, func(d *deployment.Deployment) *world.Endpoint { return d.Engines[0] }),
		Entry("of orders", world.KindOrder, func(d *deployment.Deployment) *world.Endpoint { return d.Desks[0] }),
		Entry("of lookups", world.KindLookup, func(d *deployment.Deployment) *world.Endpoint { return d.Desks[0] }),
	)

	// Guards against callers that wait for endpoints which can't serve them.
	It("makes instances refuse at once and say when to return, if all endpoints ask so", func() {
		d := startDeployment(1, 3)
		for _, desk := range d.Desks {
			desk.SetBusy(retryAfter)
		}
		_ = sendFor(d, world.KindLookup, 500*time.Millisecond)
		for _, outcome := range sendFor(d, world.KindLookup, 500*time.Millisecond) {
			Expect(outcome.Status).To(Equal(http.StatusServiceUnavailable))
			Expect(outcome.RetryAfter).To(BeNumerically("~", retryAfter, retryAfter/2))
			Expect(outcome.EndedAt.Sub(outcome.SentAt)).To(BeNumerically("<", 200*time.Millisecond))
		}
		for _, desk := range d.Desks {
			Expect(disturbances(desk)).To(BeNumerically("<=", maxDisturbances))
		}
	})
})
