package relay_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hibiscusstair/hibiscusstair/relay"
)

// inWorld runs a test with a fleet of which all instances have the first version.
func inWorld(t *testing.T, on deployment, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(on, func(domain, i int) string { return fmt.Sprintf("front-%d-%d", domain, i) })
		w.put()
		for _, n := range w.nodes {
			n.backDelay, n.lossDelay = 100*time.Millisecond, 4*time.Second
			n.start(ctx, 50*time.Millisecond)
		}
		w.firstLate(settleTime)
		test(w)
		cancel()
		// Calls that are under way end.
		time.Sleep(time.Minute)
	})
}

// firstLate returns the first instances that act by an old version within a time.
func (w *world) firstLate(length time.Duration) []lateInstance {
	var first []lateInstance
	for end := w.now() + length; w.now() < end; time.Sleep(checkInterval) {
		if late := w.check(); len(first) == 0 {
			first = late
		}
	}
	return first
}

// readOrder returns the instances of the first failure domain in the order in which they
// become readers.
func (w *world) readOrder() []*worldNode {
	var order []*worldNode
	for _, m := range relay.ReadersInOrder(w.members()) {
		if n := w.nodeAt(m.Address); n.member.FailureDomain == "0" {
			order = append(order, n)
		}
	}
	return order
}

// Guards against an instance that does not ask a store that is back, because it has failed
// several times before and others would read it first.
func TestInstanceThatReachesTheStoreAgainAsksItInTime(t *testing.T) {
	for _, on := range []deployment{smallDeployment, grownDeployment} {
		for _, outage := range []time.Duration{2 * time.Second, 4 * time.Second, 7 * time.Second, 9 * time.Second} {
			t.Run(fmt.Sprintf("%s, outage of %v", on.name, outage), func(t *testing.T) {
				inWorld(t, on, func(w *world) {
					w.change(func() {
						for _, n := range w.nodes {
							n.storePath.begin(pathResets)
						}
					})
					w.firstLate(outage)
					order := w.readOrder()
					w.change(func() { order[len(order)-1].storePath.end(pathResets) })
					w.put()
					for _, l := range w.firstLate(2 * on.contactTime) {
						t.Error(l)
					}
				})
			})
		}
	}
}

// Guards against an instance that reaches the store, but asks several others before, each
// of which has lost it or takes its time to fail.
func TestInstanceReadsTheStoreInTimeWhenOthersFailOneAfterTheOther(t *testing.T) {
	for _, on := range []deployment{smallDeployment, grownDeployment} {
		for _, lost := range []pathState{pathRefuses, pathResets, pathSilent} {
			for delay := time.Duration(0); delay < on.activation; delay += on.activation / 4 {
				t.Run(fmt.Sprintf("%s, store lost (%d), cut off after %v", on.name, lost, delay), func(t *testing.T) {
					inWorld(t, on, func(w *world) {
						order := w.readOrder()
						last := order[len(order)-1]
						// All have contact with the store just before they lose it.
						w.put()
						w.firstLate(50 * time.Millisecond)
						w.change(func() {
							for _, n := range w.nodes {
								if n != last {
									n.storePath.begin(lost)
								}
							}
						})
						w.put()
						w.firstLate(delay)
						w.change(func() {
							for _, n := range order[1 : len(order)-1] {
								n.peerPath.begin(pathSilent)
							}
						})
						for _, l := range w.firstLate(on.activation + on.contactTime - delay) {
							t.Error(l)
						}
					})
				})
			}
		}
	}
}

// Guards against an instance that does not ask a store that is back, because it still asks
// others that are silent.
func TestInstanceReadsTheStoreAgainInTimeWhileOthersAreSilent(t *testing.T) {
	for outage := time.Second; outage < 4*time.Second; outage += 200 * time.Millisecond {
		t.Run(outage.String(), func(t *testing.T) {
			inWorld(t, smallDeployment, func(w *world) {
				order := w.readOrder()
				last := order[len(order)-1]
				w.change(func() {
					for _, n := range w.nodes {
						n.storePath.begin(pathRefuses)
						if n != last {
							n.peerPath.begin(pathSilent)
						}
					}
				})
				w.firstLate(outage)
				w.change(func() { last.storePath.end(pathRefuses) })
				w.put()
				for _, l := range w.firstLate(2 * smallDeployment.contactTime) {
					t.Error(l)
				}
			})
		})
	}
}
