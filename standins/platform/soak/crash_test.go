package soak_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/standins/cutproxy"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/deployment"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

const (
	// poisonBody is the content that ends the engines which run it.
	poisonBody = "poison"
	// poisonInterval is the time between two callers that send it.
	poisonInterval = 400 * time.Millisecond
	// poisonDuration is how long it is sent.
	poisonDuration = 7 * time.Second
	// noticeTime is the time after the third end in which the instances have to find
	// the content, and maxLateRetries the requests with it that may reach engines
	// afterwards. Both are the users' bound.
	noticeTime     = 3 * time.Second
	maxLateRetries = 3
	// engineRestart is the time until an ended engine starts again, and
	// registrationLifetime the time until the registration of a silent one ends.
	engineRestart        = 1500 * time.Millisecond
	registrationLifetime = 3600 * time.Millisecond
	// soundCallers is the number of callers whose content ends no engine.
	soundCallers = 4
)

// engineEnd is a way in which engines end, and what happens beside it.
type engineEnd struct {
	kind          world.RequestKind // of the content
	end           func(*deployment.Deployment) func(*world.Endpoint)
	afterEvents   int
	throughProxy  bool
	killInstances bool
}

// endAndRefuse ends an engine whose address then refuses connections.
func endAndRefuse(restart time.Duration) func(*deployment.Deployment) func(*world.Endpoint) {
	return func(*deployment.Deployment) func(*world.Endpoint) {
		return func(e *world.Endpoint) {
			id := e.Crash()
			time.Sleep(restart)
			_ = e.Start()
			e.Deregister(id)
		}
	}
}

// endSilently ends an engine whose host sends nothing any more: open connections get no
// data, and new ones are not accepted.
func endSilently(d *deployment.Deployment) func(*world.Endpoint) {
	return func(e *world.Endpoint) {
		proxy := d.EndpointProxies[slices.Index(d.Engines, e)]
		proxy.Freeze("", false, cutproxy.Up, cutproxy.Down)
		_ = proxy.Refuse()
		accept := acceptNothing(proxy.Address())
		time.Sleep(registrationLifetime)
		e.Deregister(e.Crash())
		proxy.Cut("")
		proxy.Heal("")
		accept()
		_ = proxy.Listen()
		_ = e.Start()
	}
}

// acceptNothing listens on an address without accepting, so that connections to it time
// out, until the returned function is called.
func acceptNothing(address string) (stop func()) {
	at := netip.MustParseAddrPort(address)
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return func() {}
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	_ = syscall.Bind(fd, &syscall.SockaddrInet4{Addr: at.Addr().As4(), Port: int(at.Port())})
	_ = syscall.Listen(fd, 0)
	var fillers []net.Conn
	for range 4 { // fills the queue of connections
		if filler, err := net.DialTimeout("tcp", address, 20*time.Millisecond); err == nil {
			fillers = append(fillers, filler)
		}
	}
	return func() {
		for _, filler := range fillers {
			_ = filler.Close()
		}
		_ = syscall.Close(fd)
	}
}

// sendRequests sends requests of a kind until the context ends.
func sendRequests(ctx context.Context, d *deployment.Deployment, kind world.RequestKind, name string, interval time.Duration, body func(int) string) {
	random := rand.New(rand.NewPCG(7, world.Hash([]byte(name))))
	var group sync.WaitGroup
	defer group.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		if ready := d.ReadyInstances(); len(ready) > 0 {
			request := world.Request{
				AttemptID: fmt.Sprintf("%s-%d", name, number), Kind: kind, Host: deployment.Host, APIKey: d.APIKeys()[0],
				InstanceAddress: ready[random.IntN(len(ready))].CallerAddress, Target: fmt.Sprintf("/%s/1", kind), Body: []byte(body(number)),
				PromptTokens: 800, OutputTokens: 240, Timeout: 8 * time.Second,
			}
			group.Go(func() { world.Send(context.Background(), request) })
		}
		time.Sleep(interval)
	}
}

// receivedWith returns when engines received requests with the body, in order.
func receivedWith(d *deployment.Deployment, body string) []time.Time {
	var times []time.Time
	for _, r := range d.RequestLog.Requests() {
		if r.BodyHash == world.Hash([]byte(body)) {
			times = append(times, r.ReceivedAt)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}

func killInTurn(ctx context.Context, d *deployment.Deployment) {
	for i := 0; ctx.Err() == nil; i++ {
		time.Sleep(2 * time.Second)
		d.Instances[i%len(d.Instances)].Process().Kill()
	}
}

// killAll kills all instances and waits until none is ready.
func killAll(d *deployment.Deployment) {
	for _, instance := range d.Instances {
		instance.Process().Kill()
	}
	Eventually(func() int { return len(d.ReadyInstances()) }, "10s", "20ms").Should(BeZero())
}

var _ = Describe("Content that ends each engine which runs it", func() {
	// Guards against content that goes on ending engines after three have ended, whatever way they end.
	DescribeTable("is found by all instances", func(ending engineEnd) {
		d := startDeployment(4, 12)
		for _, e := range append(d.Engines, d.Desks...) {
			e.SetPoisonContent(&world.PoisonContent{Body: []byte(poisonBody), AfterEvents: ending.afterEvents, End: ending.end(d)})
			if !ending.throughProxy {
				e.SetRegisteredAddress(e.Address()) // a proxy would accept connections
			}
		}
		load, stop := context.WithTimeout(context.Background(), poisonDuration)
		defer stop()
		var group sync.WaitGroup
		for i := range soundCallers {
			name := fmt.Sprint("sound", i)
			group.Go(func() {
				sendRequests(load, d, ending.kind, name, 300*time.Millisecond, func(n int) string { return fmt.Sprint(name, n) })
			})
		}
		group.Go(func() {
			sendRequests(load, d, ending.kind, "poison", poisonInterval, func(int) string { return poisonBody })
		})
		if ending.killInstances {
			group.Go(func() { killInTurn(load, d) })
		}
		group.Wait()
		received := receivedWith(d, poisonBody)
		Expect(len(received)).To(BeNumerically(">=", 3))
		late := slices.DeleteFunc(slices.Clone(received), func(at time.Time) bool { return at.Before(received[2].Add(noticeTime)) })
		GinkgoWriter.Printf("%d requests reached engines, %d of them late\n", len(received), len(late))
		Expect(len(late)).To(BeNumerically("<=", maxLateRetries))
	},
		Entry("with refused connections", engineEnd{kind: world.KindStream, end: endAndRefuse(engineRestart)}),
		Entry("after some events", engineEnd{kind: world.KindStream, end: endAndRefuse(engineRestart), afterEvents: 5}),
		Entry("and start again at once", engineEnd{kind: world.KindStream, end: endAndRefuse(0)}),
		Entry("in silence", engineEnd{kind: world.KindStream, end: endSilently, throughProxy: true}),
		Entry("of a service for orders", engineEnd{kind: world.KindOrder, end: endAndRefuse(engineRestart)}),
		Entry("while instances are killed", engineEnd{kind: world.KindStream, end: endAndRefuse(engineRestart), killInstances: true}),
	)

	// Guards against content that crashes engines anew after each loss of all instances.
	It("stays refused after all instances were killed", func() {
		d := startDeployment(4, 12)
		for _, e := range d.Engines {
			e.SetPoisonContent(&world.PoisonContent{Body: []byte(poisonBody), End: endAndRefuse(engineRestart)(d)})
			e.SetRegisteredAddress(e.Address())
		}
		sendPoison := func() {
			load, stop := context.WithTimeout(context.Background(), 4*time.Second)
			defer stop()
			sendRequests(load, d, world.KindStream, "poison", poisonInterval, func(int) string { return poisonBody })
		}
		sendPoison()
		for range 2 {
			killAll(d)
			Expect(d.WaitReady(context.Background())).To(Succeed())
			time.Sleep(noticeTime)
			sendPoison()
		}
		received := receivedWith(d, poisonBody)
		Expect(len(received)).To(BeNumerically(">=", 3))
		late := slices.DeleteFunc(slices.Clone(received), func(at time.Time) bool { return at.Before(received[2].Add(noticeTime)) })
		GinkgoWriter.Printf("%d requests reached engines, %d of them late\n", len(received), len(late))
		Expect(len(late)).To(BeNumerically("<=", maxLateRetries))
		Expect(d.Store.Names("crash-refusals")).To(HaveLen(1))
	})

	// Guards against an instance that learns nothing of what was found while it stood still.
	It("is known to an instance that stood still meanwhile", func() {
		d := startDeployment(4, 12)
		for _, e := range d.Engines {
			e.SetPoisonContent(&world.PoisonContent{Body: []byte(poisonBody), End: endAndRefuse(engineRestart)(d)})
			e.SetRegisteredAddress(e.Address())
		}
		away := d.Instances[0]
		away.Process().Pause()
		time.Sleep(time.Second) // until it is not ready
		load, stop := context.WithTimeout(context.Background(), 5*time.Second)
		defer stop()
		sendRequests(load, d, world.KindStream, "poison", poisonInterval, func(int) string { return poisonBody })
		Expect(len(receivedWith(d, poisonBody))).To(BeNumerically(">=", 3))
		away.Process().Continue()
		time.Sleep(noticeTime)
		before := len(receivedWith(d, poisonBody))
		for i := range 6 {
			outcome := world.Send(context.Background(), world.Request{
				AttemptID: fmt.Sprint("late-", i), Kind: world.KindStream, Host: deployment.Host, APIKey: d.APIKeys()[0],
				InstanceAddress: away.CallerAddress, Target: "/stream/1", Body: []byte(poisonBody),
				PromptTokens: 800, OutputTokens: 240, Timeout: 5 * time.Second,
			})
			GinkgoWriter.Println("status", outcome.Status)
		}
		Expect(len(receivedWith(d, poisonBody)) - before).To(BeNumerically("<=", maxLateRetries))
	})
})
