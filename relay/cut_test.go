package relay_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/relay"
	"github.com/hibiscusstair/hibiscusstair/storesync"
)

// storeTimeout is how long the platform's client waits for the store beyond the wait of
// a watch.
const storeTimeout = 500 * time.Millisecond

var errCut = errors.New("the store cannot be reached")

// storeCut takes the store from one instance.
type storeCut struct {
	began, ended chan struct{} // closed
	// resets says that calls fail at once; otherwise they time out.
	resets bool
}

func newStoreCut() *storeCut {
	return &storeCut{began: make(chan struct{}), ended: make(chan struct{})}
}

// begin begins the cut.
func (c *storeCut) begin(resets bool) {
	c.resets = resets
	close(c.began)
}

// inForce reports whether the cut has begun and not ended.
func (c *storeCut) inForce() bool { return isClosed(c.began) && !isClosed(c.ended) }

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// cuttableStore is a store that one instance may lose.
type cuttableStore struct {
	storesync.Store
	cut   *storeCut
	calls *atomic.Int32 // of all instances
}

func (s cuttableStore) ReadTable(ctx context.Context) (storesync.TableRead, error) {
	return s.call(ctx, 0, s.Store.ReadTable)
}

func (s cuttableStore) WatchTable(ctx context.Context, after storesync.Revision, wait time.Duration) (storesync.TableRead, error) {
	return s.call(ctx, wait, func(ctx context.Context) (storesync.TableRead, error) {
		return s.Store.WatchTable(ctx, after, wait)
	})
}

// call makes a call to the store. One that is under way when the cut begins fails like
// those that begin later.
func (s cuttableStore) call(ctx context.Context, wait time.Duration, read func(context.Context) (storesync.TableRead, error)) (storesync.TableRead, error) {
	s.calls.Add(1)
	timeout := time.After(wait + storeTimeout)
	if !s.cut.inForce() {
		reading, cancel := context.WithCancel(ctx)
		defer cancel()
		if !isClosed(s.cut.began) {
			go func() {
				select {
				case <-s.cut.began:
					cancel()
				case <-reading.Done():
				}
			}()
		}
		response, err := read(reading)
		if !s.cut.inForce() {
			return response, err
		}
	}
	if !s.cut.resets {
		select {
		case <-timeout:
		case <-ctx.Done():
		}
	}
	return storesync.TableRead{}, errCut
}

// readers returns the instances that read the store themselves, and those that would
// read it in their place, up to count.
func (f *growingFleet) readers(count int) []*growingNode {
	var readers []*growingNode
	excluded := make(map[string]bool)
	for range count {
		for _, n := range f.nodes {
			parent := relay.ParentOf(n.member, f.members, func(m api.Member) bool { return excluded[m.Address] })
			if parent == "" && !excluded[n.member.Address] {
				readers = append(readers, n)
				excluded[n.member.Address] = true
				break
			}
		}
	}
	return readers
}

// Guards against a configuration that is not in force in time because the instance that
// reads for the others has lost the store, and is told by them what it told them before.
func TestConfigurationIsInForceInTimeWhenItsReadersLoseTheStore(t *testing.T) {
	for _, lost := range []int{1, 2, 4} {
		for _, resets := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d readers, resets %v", lost, resets), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					ctx, cancel := context.WithCancel(t.Context())
					defer cancel()
					f := newGrowingFleet(3, 10, 2)
					f.activation = growthBound
					f.followUntilSettled(ctx)
					for _, n := range f.readers(lost) {
						n.cut.begin(resets)
					}
					time.Sleep(80 * time.Millisecond)
					f.store.put(growingTable(2, 100))
					elapsed := f.timeUntil(2)
					t.Logf("in force after %v, %d late", elapsed, f.late(2))
					if late := f.late(2); late > 0 {
						t.Errorf("not in force at %d of %d instances after %v", late, len(f.nodes), growthBound)
					}
				})
			})
		}
	}
}

// Guards against a store that is asked by all instances again and again while it is down,
// and against instances that notice late that it is back.
func TestStoreThatIsDownIsAskedByItsReaders(t *testing.T) {
	const (
		outage = 4500 * time.Millisecond
		// backBound is the time after which registrations that lapsed are back.
		backBound = 2 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newGrowingFleet(3, 10, 2)
		f.activation = growthBound
		f.followUntilSettled(ctx)
		for _, n := range f.nodes {
			n.cut.begin(true)
		}
		f.store.calls.Store(0)
		time.Sleep(outage)
		t.Logf("%d calls to the store in %v", f.store.calls.Load(), outage)
		if calls, most := int(f.store.calls.Load()), 3*len(f.nodes); calls > most {
			t.Errorf("%d calls to the store in %v, want at most %d", calls, outage, most)
		}
		for _, n := range f.nodes {
			close(n.cut.ended)
		}
		f.store.put(growingTable(2, 100))
		elapsed := f.timeUntil(2)
		t.Logf("in force %v after the store is back", elapsed)
		if elapsed > backBound {
			t.Errorf("in force %v after the store is back, want at most %v", elapsed, backBound)
		}
	})
}
