package soak_test

import (
	"context"
	"fmt"
	"net/http"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/deployment"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

const (
	// applyTimeout is the users' bound for a change of the configuration to be in force.
	applyTimeout = 2500 * time.Millisecond
	// storeOutage is how long a store is away before it is back from a copy.
	storeOutage = 700 * time.Millisecond
)

// lookUpStatus returns the status that an instance gives a lookup with the key.
func lookUpStatus(d *deployment.Deployment, instance *deployment.Instance, key string) int {
	attempt := fmt.Sprintf("%s-%s-%d", instance.Name, key, time.Now().UnixNano())
	return world.Send(context.Background(), world.Request{
		AttemptID: attempt, Kind: world.KindLookup, Host: deployment.Host, APIKey: key, Timeout: time.Second,
		InstanceAddress: instance.CallerAddress, Target: "/lookup/" + attempt,
	}).Status
}

// expectInForce expects that all instances serve the newest keys and refuse the revoked
// one within applyTimeout.
func expectInForce(d *deployment.Deployment, revoked string) {
	GinkgoHelper()
	keys := d.APIKeys()
	time.Sleep(applyTimeout)
	for _, instance := range d.Instances {
		Expect(lookUpStatus(d, instance, keys[len(keys)-1])).To(Equal(http.StatusOK), "%s, new key", instance.Name)
		Expect(lookUpStatus(d, instance, revoked)).To(Equal(http.StatusUnauthorized), "%s, revoked key", instance.Name)
	}
}

var _ = Describe("A store that is restored from a copy", func() {
	var d *deployment.Deployment

	BeforeEach(func() {
		d = startDeployment(6, 6)
	})

	// restore makes changes, loses them in a restored store, and writes again what the
	// operator and the endpoints had written.
	restore := func(changes int) {
		copied := d.Store.Copy()
		for range changes {
			d.ReplaceAPIKey()
			time.Sleep(100 * time.Millisecond)
		}
		d.Store.SetDown(true)
		time.Sleep(storeOutage)
		d.Store.Restore(copied)
		d.Store.SetDown(false)
		d.RewriteConfiguration()
	}

	// Guards against instances that wait for a revision of the store that was restored.
	It("puts later changes in force at all instances", func() {
		restore(3)
		time.Sleep(1500 * time.Millisecond)
		revoked, _ := d.ReplaceAPIKey()
		expectInForce(d, revoked)
	})

	// Guards against a watch that continues from a revision that was given out again.
	It("puts changes in force that reach the old revision at once", func() {
		restore(1)
		revoked, _ := d.ReplaceAPIKey()
		d.RewriteConfiguration()
		expectInForce(d, revoked)
	})

	It("puts changes in force after two restores", func() {
		restore(3)
		time.Sleep(500 * time.Millisecond)
		restore(2)
		revoked, _ := d.ReplaceAPIKey()
		expectInForce(d, revoked)
	})

	// Guards against an instance that serves an older configuration than it, or others, had in force.
	It("does not go back before the operator has written the configuration again", func() {
		copied := d.Store.Copy()
		revoked, _ := d.ReplaceAPIKey()
		expectInForce(d, revoked)
		d.Store.SetDown(true)
		time.Sleep(storeOutage)
		d.Store.Restore(copied)
		d.Store.SetDown(false)
		d.Instances[0].Process().Kill()
		time.Sleep(3 * time.Second)
		keys := d.APIKeys()
		for _, instance := range d.Instances {
			Expect(lookUpStatus(d, instance, keys[len(keys)-1])).To(Equal(http.StatusOK), "%s, new key", instance.Name)
		}
	})

	// Guards against an engine that is used again because the copy has it as ready.
	It("does not bring an engine back that drains", func() {
		copied := d.Store.Copy()
		draining := d.Engines[0]
		draining.StartDraining()
		time.Sleep(time.Second)
		d.Store.SetDown(true)
		time.Sleep(storeOutage)
		d.Store.Restore(copied)
		d.Store.SetDown(false)
		restored := time.Now()
		time.Sleep(2 * time.Second)
		for i := range 60 {
			instance := d.Instances[i%len(d.Instances)]
			_ = world.Send(context.Background(), world.Request{
				AttemptID: fmt.Sprint("s", i), Kind: world.KindStream, Host: deployment.Host, APIKey: d.APIKeys()[0], Timeout: 5 * time.Second,
				InstanceAddress: instance.CallerAddress, Target: fmt.Sprint("/stream/", i), Body: fmt.Append(nil, "body", i),
				PromptTokens: 100, OutputTokens: 12,
			})
		}
		for _, r := range d.RequestLog.Requests() {
			if r.ReceivedAt.After(restored) {
				Expect(r.IncarnationID).NotTo(Equal(draining.IncarnationID()))
			}
		}
	})
})
