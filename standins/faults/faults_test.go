// Package faults tests the instance on real processes that are killed, frozen
// and cut off. The specs assert outcomes; their time bounds are protection
// against hanging only.
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
	// hangBound ends a spec that hangs.
	hangBound = 60 * time.Second
	// answerTokens takes about 2 s at the engines' pace.
	answerTokens = 200
	// faultAt is the number of tokens after which a fault strikes.
	faultAt = 50
)

func TestFaults(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = specSeed
	RunSpecs(t, "failures on real processes", suite, reporter)
}

// bench is a fleet with a ticket in force and a caller.
type bench struct {
	*harness.Fleet
	ctx    context.Context
	caller *harness.Caller
}

// start starts a fleet for one spec and puts ticket 1 in force.
func start(instances, engines int, change func(*harness.Options)) *bench {
	GinkgoHelper()
	ctx, cancel := context.WithTimeout(context.Background(), hangBound)
	options, token := harness.SmallFleet("faults", instances, engines)
	if change != nil {
		change(&options)
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
	return &bench{Fleet: fleet, ctx: ctx, caller: &harness.Caller{Token: token, Instances: fleet.CallerAddresses("instance-1")}}
}

// generation returns a request; n makes it different from others.
func generation(n int) harness.Generation {
	return harness.Generation{
		Key: fmt.Sprintf("key-%d", n), Model: harness.Model.Model, Version: harness.Model.Version,
		Prompt: fmt.Sprintf("dream %d of a stair", n), MaxTokens: answerTokens, Seed: int64(n),
	}
}

// from returns the caller with another first instance.
func (b *bench) from(instance string) *harness.Caller {
	caller := *b.caller
	caller.Instances = b.CallerAddresses(instance)
	return &caller
}

// openMany starts n generations over all instances.
func (b *bench) openMany(first, n int) []*harness.Stream {
	instances := b.Instances()
	var streams []*harness.Stream
	for i := range n {
		caller := b.from(instances[i%len(instances)].Spec.ID)
		streams = append(streams, caller.Open(b.ctx, generation(first+i)))
	}
	return streams
}

// reach waits until all streams have the number of tokens and returns the last
// event of the first.
func (b *bench) reach(streams []*harness.Stream, tokens int) harness.Event {
	GinkgoHelper()
	var first harness.Event
	for i, s := range streams {
		last, err := s.WaitForTokens(b.ctx, tokens)
		Expect(err).NotTo(HaveOccurred())
		if i == 0 {
			first = last
		}
	}
	return first
}

// expectWhole checks every answer token for token.
func (b *bench) expectWhole(streams []*harness.Stream) {
	GinkgoHelper()
	for _, s := range streams {
		Expect(s.WaitAndCheck(b.ctx)).To(Succeed(), s.Request.Key)
	}
}

// engineOf returns the engine that an event names.
func (b *bench) engineOf(event harness.Event) *harness.Endpoint {
	GinkgoHelper()
	id, _ := harness.ParseEventID(event.ID)
	Expect(b.Endpoint(id)).NotTo(BeNil(), event.ID)
	return b.Endpoint(id)
}

// instanceOf returns the instance that an event names.
func (b *bench) instanceOf(event harness.Event) *harness.Instance {
	GinkgoHelper()
	_, id := harness.ParseEventID(event.ID)
	Expect(b.Instance(id)).NotTo(BeNil(), event.ID)
	return b.Instance(id)
}
