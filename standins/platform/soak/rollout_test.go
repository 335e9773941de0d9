package soak_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/deployment"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/promise"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

const (
	// rolloutDuration is the time in which a good version has to be complete, and
	// rollbackTime the time after the 50th bad response from which on a bad one gets no
	// requests.
	rolloutDuration = 16 * time.Second
	rollbackTime    = 5 * time.Second
	// exposeShare and exposeSlack bound the requests that a bad version gets.
	exposeShare = 0.1
	exposeSlack = 50
)

// startRolloutDeployment starts a deployment whose instances serve rollouts, and returns it
// with the directory of its logs.
func startRolloutDeployment(instances, engines int) (*deployment.Deployment, string) {
	GinkgoHelper()
	directory := GinkgoT().TempDir()
	d, err := deployment.Start(deployment.Options{
		Instances: instances, Engines: engines, EngineParameters: world.FastEngine, LogDirectory: directory, OnError: func(error) {},
		Contracts: []string{deployment.ContractRollout},
	})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(d.Close)
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	go d.Run(ctx)
	Expect(d.WaitReady(ctx)).To(Succeed())
	return d, directory
}

// lastWriter returns the instance that wrote the status of a rollout last, nil if none did.
func lastWriter(d *deployment.Deployment, directory string) *deployment.Instance {
	var writer *deployment.Instance
	var last time.Time
	for _, instance := range d.Instances {
		paths, err := filepath.Glob(filepath.Join(directory, instance.Name+"*.log"))
		Expect(err).NotTo(HaveOccurred())
		for _, path := range paths {
			content, err := os.ReadFile(path)
			Expect(err).NotTo(HaveOccurred())
			lines := bufio.NewScanner(bytes.NewReader(content))
			for lines.Scan() {
				var line struct {
					Time   time.Time `json:"time"`
					Msg    string    `json:"msg"`
					Result string    `json:"result"`
				}
				if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "rollout status write" && line.Result == "written" && line.Time.After(last) {
					writer, last = instance, line.Time
				}
			}
		}
	}
	return writer
}

// streamLoad sends streams through the ready instances until stopped.
type streamLoad struct {
	mu       sync.Mutex
	outcomes []world.Outcome
	group    sync.WaitGroup
	stop     context.CancelFunc
}

func startStreamLoad(d *deployment.Deployment, callers int) *streamLoad {
	ctx, cancel := context.WithCancel(context.Background())
	l := &streamLoad{stop: cancel}
	for caller := range callers {
		l.group.Go(func() {
			for number := 0; ctx.Err() == nil; number++ {
				ready := d.ReadyInstances()
				if len(ready) == 0 {
					time.Sleep(50 * time.Millisecond)
					continue
				}
				id := "r" + string(rune('a'+caller)) + "-" + time.Now().Format("150405.000000")
				o := world.Send(context.Background(), world.Request{
					AttemptID: id, Kind: world.KindStream, Host: deployment.Host, APIKey: d.APIKeys()[0], InstanceAddress: ready[(caller+number)%len(ready)].CallerAddress,
					Target: "/stream/" + id, Body: []byte(id), PromptTokens: 100, OutputTokens: 60, Timeout: 10 * time.Second,
				})
				l.mu.Lock()
				l.outcomes = append(l.outcomes, o)
				l.mu.Unlock()
			}
		})
	}
	return l
}

// end stops the load and returns the outcomes.
func (l *streamLoad) end() []world.Outcome {
	l.stop()
	l.group.Wait()
	return l.outcomes
}

// receivedOf returns the times at which the engines of a version received requests.
func receivedOf(d *deployment.Deployment, version string) []time.Time {
	var times []time.Time
	for _, r := range d.RequestLog.Requests() {
		if r.Version == version {
			times = append(times, r.ReceivedAt)
		}
	}
	return times
}

var _ = Describe("A rollout", func() {
	// Guards against a rollout that never ends since the instance that writes its status is
	// killed halfway, and against streams that are lost when the old engines stop.
	It("of a good version completes although the instance that wrote its status is killed", func() {
		d, directory := startRolloutDeployment(4, 6)
		load := startStreamLoad(d, 10)
		time.Sleep(2 * time.Second)
		added, err := d.StartVersion("v2", world.VersionFaults{})
		Expect(err).NotTo(HaveOccurred())
		go func() {
			defer GinkgoRecover()
			time.Sleep(rolloutDuration / 2)
			writer := lastWriter(d, directory)
			Expect(writer).NotTo(BeNil())
			GinkgoWriter.Println("killed:", writer.Name)
			writer.Process().Kill()
		}()
		ordered := time.Now()
		status, err := d.RollOut(context.Background(), "v2", added, rolloutDuration, 0)
		GinkgoWriter.Println("over after", time.Since(ordered), status)
		Expect(err).NotTo(HaveOccurred())
		Expect(status.State).To(Equal("complete"))
		over := time.Now()
		time.Sleep(3 * time.Second)
		outcomes := load.end()
		GinkgoWriter.Println(len(outcomes), "streams;", len(receivedOf(d, "v1")), "and", len(receivedOf(d, "v2")), "requests to the versions")
		Expect(promise.Violations(outcomes, d.RequestLog.Requests(), deployment.Account)).To(BeEmpty())
		for _, o := range outcomes {
			if o.SentAt.After(over.Add(time.Second)) {
				Expect(o.Complete).To(BeTrue(), "%+v", o)
			}
		}
	})

	// Guards against a bad version that gets more than its share, or that is completed.
	DescribeTable("of a bad version is reverted before it gets more than its share",
		func(faults world.VersionFaults, fault world.StatusFault) {
			d, _ := startRolloutDeployment(4, 6)
			load := startStreamLoad(d, 10)
			time.Sleep(2 * time.Second)
			before := len(d.RequestLog.Requests())
			added, err := d.StartVersion("v2", faults)
			Expect(err).NotTo(HaveOccurred())
			d.Store.SetStatusFault(fault)
			time.AfterFunc(6*time.Second, func() { d.Store.SetStatusFault(world.StatusAnswered) })
			ordered := time.Now()
			status, err := d.RollOut(context.Background(), "v2", added, rolloutDuration, 0)
			GinkgoWriter.Println("over after", time.Since(ordered), status)
			Expect(err).NotTo(HaveOccurred())
			Expect(status.State).To(Equal("reverted"))
			over := time.Now()
			time.Sleep(rollbackTime + time.Second)
			outcomes := load.end()
			all, exposed := len(d.RequestLog.Requests())-before, receivedOf(d, "v2")
			GinkgoWriter.Println(len(exposed), "of", all, "requests to the bad version")
			Expect(float64(len(exposed))).To(BeNumerically("<=", exposeShare*float64(all)+exposeSlack))
			for _, at := range exposed {
				Expect(at).To(BeTemporally("<", over.Add(rollbackTime)))
			}
			Expect(promise.Violations(outcomes, d.RequestLog.Requests(), deployment.Account)).To(BeEmpty())
		},
		Entry("that fails a third of its requests", world.VersionFaults{FailShare: 0.33}, world.StatusAnswered),
		Entry("that is five times slower", world.VersionFaults{Slowness: 5}, world.StatusAnswered),
		Entry("that fails while writes get no response", world.VersionFaults{FailShare: 0.5}, world.StatusUnanswered),
		Entry("that fails while writes are executed late", world.VersionFaults{FailShare: 0.5}, world.StatusDelayed),
	)
})
