// Package faults tests instances, engines and services as real processes that are
// killed, paused and disconnected. The specs check outcomes. Their timeouts only end
// specs that hang, except for the limit on new work after a ticket.
package faults_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/standins/harness"
)

const (
	// specSeed fixes the order of the specs.
	specSeed = 20261204
	// specTimeout ends a spec that hangs.
	specTimeout = 60 * time.Second
	// responseTokens is the length of a response. The engines generate it in about
	// 2 s, which leaves time for a fault.
	responseTokens = 200
	// tokensBeforeFault is the number of received tokens after which a fault is
	// injected.
	tokensBeforeFault = 50
)

func TestFaults(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = specSeed
	RunSpecs(t, "faults of real processes", suite, reporter)
}

// testFleet is a fleet that has accepted ticket 1, and a caller.
type testFleet struct {
	*harness.Fleet
	ctx    context.Context
	caller *harness.Caller
}

// startFleet starts a fleet for one spec and applies ticket 1. configure changes
// the options of the fleet; it may be nil.
func startFleet(instances, engines int, configure func(*harness.Options)) *testFleet {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), specTimeout)
	options, token := harness.SmallFleet("faults", instances, engines)
	if configure != nil {
		configure(&options)
	}
	fleet, err := harness.Start(ctx, options)
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			GinkgoWriter.Println("logs:", fleet.LogDirectory)
		}
		fleet.Close()
		cancel()
	})
	Expect(fleet.ApplyTicket(ctx, "instance-1", fleet.NextTicket())).To(Succeed())
	return &testFleet{Fleet: fleet, ctx: ctx, caller: &harness.Caller{Token: token, InstanceAddresses: fleet.CallerAddresses("instance-1")}}
}

// newGeneration returns a generation request whose key, prompt and seed depend
// on n.
func newGeneration(n int) harness.Generation {
	return harness.Generation{
		Key: fmt.Sprintf("key-%d", n), Model: harness.Model.Model, Version: harness.Model.Version,
		Prompt: fmt.Sprintf("dream %d of a stair", n), MaxTokens: responseTokens, Seed: int64(n),
	}
}

// callerAt returns a caller that tries the given instance first.
func (f *testFleet) callerAt(instance string) *harness.Caller {
	caller := *f.caller
	caller.InstanceAddresses = f.CallerAddresses(instance)
	return &caller
}

// openGenerations starts n generations, numbered from first on and distributed over
// all instances.
func (f *testFleet) openGenerations(first, n int) []*harness.Stream {
	instances := f.Instances()
	var streams []*harness.Stream
	for i := range n {
		caller := f.callerAt(instances[i%len(instances)].Spec.ID)
		streams = append(streams, caller.Open(f.ctx, newGeneration(first+i)))
	}
	return streams
}

// waitForTokens waits until every stream has received the number of tokens and
// returns the last event of the first stream.
func (f *testFleet) waitForTokens(streams []*harness.Stream, tokens int) harness.Event {
	GinkgoHelper()
	var first harness.Event
	for i, s := range streams {
		last, err := s.WaitForTokens(f.ctx, tokens)
		Expect(err).NotTo(HaveOccurred())
		if i == 0 {
			first = last
		}
	}
	return first
}

// expectCompleteResponses waits for the end of every stream and compares its tokens
// with those of an engine that runs without a failure.
func (f *testFleet) expectCompleteResponses(streams []*harness.Stream) {
	GinkgoHelper()
	for _, s := range streams {
		Expect(s.WaitAndCheck(f.ctx)).To(Succeed(), s.Request.Key)
	}
}

// engineOf returns the engine that the ID of the event names.
func (f *testFleet) engineOf(event harness.Event) *harness.Endpoint {
	GinkgoHelper()
	id, _ := harness.ParseEventID(event.ID)
	Expect(f.Endpoint(id)).NotTo(BeNil(), event.ID)
	return f.Endpoint(id)
}

// instanceOf returns the instance that the ID of the event names.
func (f *testFleet) instanceOf(event harness.Event) *harness.Instance {
	GinkgoHelper()
	_, id := harness.ParseEventID(event.ID)
	Expect(f.Instance(id)).NotTo(BeNil(), event.ID)
	return f.Instance(id)
}
