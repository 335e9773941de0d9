package ratelimit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/fleet"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

var desk = Endpoint{ID: "desk", Incarnation: 1}

// Guards against an old message that brings a limit back or ends a newer one.
func TestRecordKeepsTheNewest(t *testing.T) {
	c := NewCore()
	steps := []struct {
		limit   Limit
		changed bool
		want    float64 // 0: no limit
	}{
		{Limit{Endpoint: desk, Ended: true, At: 1}, false, 0},
		{Limit{Endpoint: desk, PerSecond: 2, At: 5}, true, 2},
		{Limit{Endpoint: desk, Ended: true, At: 4}, false, 2},
		{Limit{Endpoint: desk, PerSecond: 2, At: 6}, false, 2},
		{Limit{Endpoint: desk, PerSecond: 3, At: 7}, true, 3},
		{Limit{Endpoint: desk, Ended: true, At: 8}, true, 0},
		{Limit{Endpoint: desk, PerSecond: 3, At: 7}, false, 0},
		{Limit{Endpoint: desk, PerSecond: 0, At: 9}, true, minRate},
	}
	for i, step := range steps {
		if changed := c.Record(step.limit); changed != step.changed {
			t.Errorf("step %d: changed is %v", i, changed)
		}
		if got, _ := c.Limit(desk); got.PerSecond != step.want {
			t.Errorf("step %d: limit is %v, want %v", i, got.PerSecond, step.want)
		}
	}
	c.Expire(time.Hour)
	if c.Forget(desk); len(c.limits)+len(c.buckets) > 0 {
		t.Error("a forgotten endpoint is kept")
	}
}

// Guards against permits of two instances in a row that together exceed the limit,
// and against instances that all ask again at the same time.
func TestGrantPacesPermits(t *testing.T) {
	c := NewCore()
	c.Record(Limit{Endpoint: desk, PerSecond: 2})
	if c.Grant(0, desk, 1).Granted {
		t.Error("a new granter grants a permit before the first refill")
	}
	waits := []time.Duration{1000, 1500, 2000, 2000}
	for i, want := range waits {
		if wait := c.Grant(0, desk, 1).Wait; wait != want*time.Millisecond {
			t.Errorf("denial %d: wait is %v, want %v ms", i, wait, want.Nanoseconds())
		}
	}
	granted := 0
	for now := time.Duration(0); now < 10*time.Second; now += 10 * time.Millisecond {
		if c.Grant(now, desk, 0.5).Granted {
			granted++
		}
	}
	if granted < 9 || granted > 10 {
		t.Errorf("half of 2 a second gave %d permits in 10 s", granted)
	}
	if !c.Grant(0, Endpoint{ID: "other"}, 1).Granted {
		t.Error("an endpoint without a limit was denied")
	}
}

// Guards against a first request that is refused although the endpoint was idle: its
// limit may have ended meanwhile, and only a response shows it.
func TestGrantAfterIdleTime(t *testing.T) {
	c := NewCore()
	c.Record(Limit{Endpoint: desk, PerSecond: 2, At: time.Second})
	if c.Grant(1400*time.Millisecond, desk, 1).Granted {
		t.Error("a permit was granted before the first refill")
	}
	idle := Endpoint{ID: "idle", Incarnation: 1}
	c.Record(Limit{Endpoint: idle, PerSecond: 2, At: time.Second})
	if !c.Grant(7*time.Second, idle, 1).Granted {
		t.Error("no permit was granted after 6 s without requests")
	}
	c.Record(Limit{Endpoint: desk, Ended: true, At: 8 * time.Second})
	c.Expire(9 * time.Second)
	c.Record(Limit{Endpoint: desk, PerSecond: 2, At: 10 * time.Second})
	if c.Grant(10*time.Second, desk, 1).Granted || !c.Grant(11*time.Second, desk, 1).Granted {
		t.Error("a limit that came back does not start with an empty bucket")
	}
}

// Guards against messages beyond their size, and against changes that are never sent
// because others are sent again.
func TestCollectSendsAllChanges(t *testing.T) {
	const maxBytes = 100
	sender, receiver := NewCore(), NewCore()
	for i := range 50 {
		sender.Record(Limit{Endpoint: Endpoint{ID: api.EndpointID(fmt.Sprintf("e%02d", i)), Incarnation: 7}, PerSecond: 1.5, At: time.Second})
	}
	for range 50 {
		deltas := sender.Collect(2*time.Second, maxBytes)
		if size := proto.Size(deltas); size > maxBytes {
			t.Fatalf("the message has %d bytes, at most %d are allowed", size, maxBytes)
		}
		for _, message := range deltas.GetLimits() {
			next, ok := fromProto(time.Hour, message)
			if !ok || next.At != time.Hour-time.Second {
				t.Fatalf("%v was decoded as %v", message, next)
			}
			receiver.Record(next)
		}
	}
	if len(receiver.limits) != 50 {
		t.Errorf("%d of 50 limits arrived", len(receiver.limits))
	}
}

// Guards against limits of another instance that are not valid.
func TestInvalidMessagesAreIgnored(t *testing.T) {
	for _, message := range []*peerpb.EndpointLimit{
		nil, {}, {PerSecond: 1}, {Endpoint: "e", PerSecond: -1}, {Endpoint: "e", PerSecond: math.NaN()}, {Endpoint: "e", AgeMs: math.MaxUint64},
	} {
		if next, ok := fromProto(time.Hour, message); ok {
			t.Errorf("%v was decoded as %v", message, next)
		}
	}
}

// Guards against instances that together grant more than the limit because they do
// not see each other.
func TestShares(t *testing.T) {
	member := func(i int, state api.MemberState) api.Member {
		return api.Member{ID: api.InstanceID(fmt.Sprintf("n%d", i)), State: state}
	}
	members := func(alive, dead int) (list []api.Member) {
		for i := range alive + dead {
			state := api.MemberAlive
			if i >= alive {
				state = api.MemberDead
			}
			list = append(list, member(i, state))
		}
		return list
	}
	r := newRoster("n0")
	all := r.order(0, desk, members(6, 0), false)
	sum := 0.0
	for i := range 6 {
		sum += all.shareOf(member(i, 0).ID)
	}
	if sum < 1 || sum >= 2 {
		t.Errorf("six instances grant %v of the limit", sum)
	}
	first, _ := all.first(func(granter) bool { return true })
	if all.shareOf(first.id) != 1 {
		t.Errorf("the first grants %v of the limit", all.shareOf(first.id))
	}
	alone := r.order(time.Second, desk, members(1, 5), false)
	if share := alone.shareOf("n0"); math.Abs(share-1.0/6) > 1e-9 {
		t.Errorf("one of six instances grants %v of the limit", share)
	}
	if share := r.order(fleet.RecentLifetime+2*time.Second, desk, members(1, 5), false).shareOf("n0"); share != 1 {
		t.Errorf("the last instance grants %v of the limit", share)
	}
	joining := newRoster("new").order(0, desk, members(6, 0), true)
	if next, _ := joining.first(func(granter) bool { return true }); next.id != first.id {
		t.Errorf("a new instance asks %s and the others %s", next.id, first.id)
	}
}
