package soak_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
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

// kinds are the kinds of requests that each spec sends at once.
var kinds = []world.RequestKind{world.KindStream, world.KindOrder, world.KindLookup}

// sendAllFor sends requests of all kinds for a time and returns their outcomes.
func sendAllFor(d *deployment.Deployment, duration time.Duration) []world.Outcome {
	var mu sync.Mutex
	var outcomes []world.Outcome
	var group sync.WaitGroup
	for _, kind := range kinds {
		group.Go(func() {
			sent := sendFor(d, kind, duration)
			mu.Lock()
			defer mu.Unlock()
			outcomes = append(outcomes, sent...)
		})
	}
	group.Wait()
	return outcomes
}

// receivedFrom returns how many requests of a kind the endpoints received from a time on.
func receivedFrom(d *deployment.Deployment, kind world.RequestKind, from time.Time, endpoints ...*world.Endpoint) (count int) {
	for _, r := range d.RequestLog.Requests() {
		of := slices.ContainsFunc(endpoints, func(e *world.Endpoint) bool { return r.IncarnationID == e.IncarnationID() })
		if of && r.ReceivedAt.After(from) && strings.HasPrefix(r.Target, "/"+string(kind)) {
			count++
		}
	}
	return count
}

var _ = Describe("An endpoint that says in its responses that it leaves", func() {
	// Guards against requests to an endpoint that leaves before the store says so.
	It("gets no more requests of any kind", func() {
		d := startDeployment(1, 3)
		leaving := []*world.Endpoint{d.Engines[0], d.Desks[0]}
		for _, e := range leaving {
			e.SetLeaving()
		}
		began := time.Now()
		_ = sendAllFor(d, time.Second)
		time.Sleep(leavingNotice)
		noticed := time.Now()
		for _, outcome := range sendAllFor(d, 2*time.Second) {
			Expect(outcome.Status).To(Equal(http.StatusOK))
		}
		for _, e := range leaving {
			Expect(receivedFrom(d, "", began, e)).To(BeNumerically(">", 0))
		}
		for _, kind := range kinds {
			Expect(receivedFrom(d, kind, noticed, leaving...)).To(BeZero(), string(kind))
			Expect(receivedFrom(d, kind, noticed, append(d.Engines, d.Desks...)...)).To(BeNumerically(">", 0), string(kind))
		}
	})
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
	It("gets no requests of any kind meanwhile, and some afterwards", func() {
		d := startDeployment(1, 3)
		busy := []*world.Endpoint{d.Engines[0], d.Desks[0]}
		for _, e := range busy {
			e.SetBusy(retryAfter)
		}
		for _, outcome := range sendAllFor(d, retryAfter) {
			Expect(outcome.Status).To(Equal(http.StatusOK))
		}
		for _, e := range busy {
			Expect(e.Rejections()).NotTo(BeEmpty())
			Expect(disturbances(e)).To(BeNumerically("<=", maxDisturbances))
			e.SetBusy(0)
		}
		time.Sleep(retryAfter)
		began := time.Now()
		_ = sendAllFor(d, time.Second)
		for _, kind := range kinds {
			Expect(receivedFrom(d, kind, began, busy...)).To(BeNumerically(">", 0), string(kind))
		}
	})

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
