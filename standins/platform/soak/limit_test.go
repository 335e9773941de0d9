package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/deployment"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

const (
	// deskLimit is the limit that each desk names, in requests per second.
	deskLimit = 2.0
	// limitWindow, limitFactor and limitSlack are the users' bound: in each window an
	// endpoint gets at most limitFactor times its limit and limitSlack requests more,
	// from limitNotice after it first named the limit.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5.0
	limitNotice = 3 * time.Second
	limitCaller = 12 // concurrent callers
)

// sendOrders sends orders, one after another, until the context ends.
func sendOrders(ctx context.Context, d *deployment.Deployment, caller int) (served int) {
	random := rand.New(rand.NewPCG(1, uint64(caller)))
	for number := 0; ctx.Err() == nil; number++ {
		ready := d.ReadyInstances()
		if len(ready) > 0 {
			attempt := fmt.Sprintf("a%d-%d", caller, number)
			outcome := world.Send(context.Background(), world.Request{
				AttemptID: attempt, Kind: world.KindOrder, Host: deployment.Host, APIKey: d.APIKeys()[0], Timeout: time.Second,
				InstanceAddress: ready[random.IntN(len(ready))].CallerAddress, Target: "/order/" + attempt, Body: []byte(attempt),
			})
			if outcome.Complete {
				served++
			}
		}
		time.Sleep(time.Duration(random.Int64N(int64(50 * time.Millisecond))))
	}
	return served
}

// mostInWindow returns the highest number of requests that the endpoint received
// within limitWindow, from a time on.
func mostInWindow(received []world.ReceivedRequest, incarnation string, from time.Time) int {
	var times []time.Time
	most := 0
	for _, r := range received {
		if r.IncarnationID != incarnation || r.ReceivedAt.Before(from) {
			continue
		}
		times = append(times, r.ReceivedAt)
		for r.ReceivedAt.Sub(times[0]) > limitWindow {
			times = times[1:]
		}
		most = max(most, len(times))
	}
	return most
}

var _ = Describe("Desks that limit their requests", func() {
	// Guards against limits that each process applies on its own, or that are
	// forgotten when a process is killed and started again.
	It("get no more than they take while instances are killed", func() {
		d := startDeployment(4, 3)
		for _, desk := range d.Desks {
			desk.SetRateLimit(deskLimit)
		}
		load, stop := context.WithCancel(context.Background())
		defer stop()
		var group sync.WaitGroup
		var mu sync.Mutex
		served := 0
		for caller := range limitCaller {
			group.Go(func() {
				n := sendOrders(load, d, caller)
				mu.Lock()
				defer mu.Unlock()
				served += n
			})
		}
		time.Sleep(limitNotice)
		from := time.Now()
		for _, instance := range d.Instances[:2] {
			time.Sleep(2 * time.Second)
			instance.Process().Kill()
		}
		time.Sleep(5 * time.Second)
		stop()
		group.Wait()
		allowed := limitFactor*deskLimit*limitWindow.Seconds() + limitSlack
		for _, desk := range d.Desks {
			most := mostInWindow(d.RequestLog.Requests(), desk.IncarnationID(), from)
			GinkgoWriter.Printf("%s: at most %d requests in %s, allowed %.0f\n", desk.IncarnationID(), most, limitWindow, allowed)
			Expect(most).To(BeNumerically("<=", allowed))
			Expect(most).To(BeNumerically(">=", limitWindow.Seconds()*deskLimit/2))
		}
		Expect(served).To(BeNumerically(">", 0))
	})
})
