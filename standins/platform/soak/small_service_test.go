package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/deployment"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

const (
	// poisonLookup is the target of the lookup that ends the desks which run it.
	poisonLookup = "/lookup/poison"
	// slowLookup is the target of a sound lookup, and slowInterval the time between two
	// callers that send it: each desk always runs one or two.
	slowLookup   = "/lookup/slow"
	slowInterval = 100 * time.Millisecond
	// deskDelayMS is added to the time that a desk takes. poisonRunTime is the time until
	// the poison lookup ends the desk: no other lookup ends before it.
	deskDelayMS   = 600
	poisonRunTime = 50 * time.Millisecond
	// releaseTime is the time after the last poison lookup in which the slow lookup has
	// to be served again.
	releaseTime = 12 * time.Second
)

// lookUp sends a lookup of a target to a ready instance, if there is one.
func lookUp(d *deployment.Deployment, id, target string) world.Outcome {
	ready := d.ReadyInstances()
	if len(ready) == 0 {
		return world.Outcome{}
	}
	return world.Send(context.Background(), world.Request{
		AttemptID: id, Kind: world.KindLookup, Host: deployment.Host, APIKey: d.APIKeys()[0], Target: target,
		InstanceAddress: ready[rand.IntN(len(ready))].CallerAddress, Timeout: time.Second,
	})
}

// lookUpEvery sends lookups of a target until the context ends.
func lookUpEvery(ctx context.Context, d *deployment.Deployment, interval time.Duration, target string) {
	var group sync.WaitGroup
	defer group.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		group.Go(func() { lookUp(d, fmt.Sprint(target, number), target) })
		time.Sleep(interval)
	}
}

// receivedTarget returns when desks received requests with the target, in order.
func receivedTarget(d *deployment.Deployment, target string) []time.Time {
	var times []time.Time
	for _, r := range d.RequestLog.Requests() {
		if r.Target == target {
			times = append(times, r.ReceivedAt)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

var _ = Describe("Lookups of a service with three endpoints, one of which ends them", func() {
	// Guards against content that goes on ending endpoints since sound content was sent again with it each time.
	It("are told apart although they are sent again together", func() {
		d := startDeployment(4, 3)
		d.DeskFaults.DelayMS.Store(deskDelayMS)
		end := endAndRefuse(engineRestart)(d)
		for _, desk := range d.Desks {
			desk.SetPoisonContent(&world.PoisonContent{Target: poisonLookup, End: func(e *world.Endpoint) {
				time.Sleep(poisonRunTime)
				end(e)
			}})
			desk.SetRegisteredAddress(desk.Address()) // a proxy would accept connections
		}
		time.Sleep(time.Second) // until the instances know the addresses
		load, stop := context.WithTimeout(context.Background(), poisonDuration)
		defer stop()
		var group sync.WaitGroup
		group.Go(func() { lookUpEvery(load, d, slowInterval, slowLookup) })
		time.Sleep(poisonInterval)
		group.Go(func() { lookUpEvery(load, d, poisonInterval, poisonLookup) })
		group.Wait()
		received := receivedTarget(d, poisonLookup)
		Expect(len(received)).To(BeNumerically(">=", 3))
		late := slices.DeleteFunc(slices.Clone(received), func(at time.Time) bool { return at.Before(received[2].Add(noticeTime)) })
		GinkgoWriter.Printf("%d requests reached endpoints, %d of them late\n", len(received), len(late))
		Expect(len(late)).To(BeNumerically("<=", maxLateRetries))
		last := 0
		Eventually(func() int { last++; return lookUp(d, fmt.Sprint("last-", last), slowLookup).Status }, releaseTime, poisonInterval).Should(Equal(http.StatusOK))
	})
})
