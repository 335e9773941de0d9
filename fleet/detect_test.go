package fleet_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/fleet"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

const testTick = 50 * time.Millisecond

// coreDriver drives one core that knows two peers: b stays in contact, v does not.
type coreDriver struct {
	core *fleet.Core
	now  time.Duration
}

func testMember(id string, state peerpb.MemberState) *peerpb.Member {
	return &peerpb.Member{
		Instance: id, Incarnation: 1, State: state, Address: id + ":7000",
		Region: "r-" + id, FailureDomain: "d-" + id, Half: "north",
	}
}

func newCoreDriver() *coreDriver {
	self := api.Member{
		ID: "a", Incarnation: 1, Address: "a:7000", Half: "north",
		Place: api.Place{Region: "r-a", FailureDomain: "d-a"},
	}
	d := &coreDriver{core: fleet.NewCore(fleet.CoreOptions{Self: self, AutoExpel: true, Seed: 1}), now: time.Minute}
	d.receive("v", testMember("v", peerpb.MemberState_MEMBER_STATE_ALIVE))
	d.receive("b", testMember("b", peerpb.MemberState_MEMBER_STATE_ALIVE))
	return d
}

// receive delivers an exchange request and returns the entries of the response.
func (d *coreDriver) receive(from string, deltas ...*peerpb.Member) []*peerpb.Member {
	request := &peerpb.ExchangeRequest{
		From: from, Incarnation: 1, Self: testMember(from, peerpb.MemberState_MEMBER_STATE_ALIVE),
		Deltas: &peerpb.Deltas{Members: deltas},
	}
	for _, action := range d.core.Step(d.now, fleet.ExchangeReceived{Request: request}) {
		if response, is := action.(fleet.PeerResponse); is {
			return response.Response.GetDeltas().GetMembers()
		}
	}
	return nil
}

// run sends ticks for the given time, keeps b in contact, and passes each action
// to observe.
func (d *coreDriver) run(length time.Duration, observe func(fleet.Action)) {
	for end := d.now + length; d.now < end; {
		d.now += testTick
		d.receive("b")
		for _, action := range d.core.Step(d.now, fleet.Tick{}) {
			observe(action)
		}
	}
}

func (d *coreDriver) state(id api.InstanceID) api.MemberState {
	for _, m := range d.core.Members() {
		if m.ID == id {
			return m.State
		}
	}
	return api.MemberUnknown
}

func (d *coreDriver) probeDone(ok bool) {
	d.core.Step(d.now, fleet.ProbeDone{To: "v", Incarnation: 1, SentAt: d.now, OK: ok})
}

func isProbeOfV(action fleet.Action) bool {
	probe, is := action.(fleet.SendProbe)
	return is && probe.To == "v"
}

// reportedToB returns the state of v that an exchange with b reports.
func reportedToB(action fleet.Action) peerpb.MemberState {
	exchange, is := action.(fleet.SendExchange)
	if !is || exchange.To != "b" {
		return peerpb.MemberState_MEMBER_STATE_UNSPECIFIED
	}
	for _, m := range exchange.Request.GetDeltas().GetMembers() {
		if m.GetInstance() == "v" {
			return m.GetState()
		}
	}
	return peerpb.MemberState_MEMBER_STATE_UNSPECIFIED
}

// TestLostProbeIsRetried checks that one lost probe does not make a running member
// a suspect, and that the second probe does not delay the suspicion of a dead
// member.
func TestLostProbeIsRetried(t *testing.T) {
	for _, secondProbeSucceeds := range []bool{false, true} {
		d := newCoreDriver()
		var sent []time.Duration
		start := d.now
		d.run(2450*time.Millisecond, func(a fleet.Action) {
			if isProbeOfV(a) {
				sent = append(sent, d.now-start)
			}
		})
		if len(sent) != 2 || sent[0] != 2*time.Second || sent[1] != 2250*time.Millisecond {
			t.Fatalf("probes were sent after %v, want 2s and 2.25s", sent)
		}
		if secondProbeSucceeds {
			d.probeDone(true)
		}
		d.now += 50 * time.Millisecond
		d.probeDone(false)
		want := api.MemberSuspect
		if secondProbeSucceeds {
			want = api.MemberAlive
		}
		if got := d.state("v"); got != want {
			t.Fatalf("second probe succeeded: %v; state is %v, want %v", secondProbeSucceeds, got, want)
		}
	}
}

// TestDeadMemberIsReportedImmediately checks that a dead member is reported directly,
// without waiting for gossip, to the instances that expel it, and that a suspect is
// not declared dead before its 3 s have passed.
func TestDeadMemberIsReportedImmediately(t *testing.T) {
	d := newCoreDriver()
	d.run(2500*time.Millisecond, func(fleet.Action) {})
	d.probeDone(false)
	suspected := d.now
	var deadAfter, reportedAfter time.Duration
	d.run(4*time.Second, func(a fleet.Action) {
		if change, is := a.(fleet.MemberChanged); is && change.Member.ID == "v" && change.Member.State == api.MemberDead {
			deadAfter = d.now - suspected
		}
		if reportedAfter == 0 && reportedToB(a) == peerpb.MemberState_MEMBER_STATE_DEAD {
			reportedAfter = d.now - suspected
		}
	})
	if deadAfter != 3*time.Second || reportedAfter != deadAfter {
		t.Fatalf("declared dead after %s and reported after %s, want both after 3s", deadAfter, reportedAfter)
	}
}

// TestInstanceListIsReadAfterDeadMember checks that an expulsion does not wait for
// the next regular read of the platform's instance list, and that many dead
// members do not cause one read each.
func TestInstanceListIsReadAfterDeadMember(t *testing.T) {
	d := newCoreDriver()
	reads := 0
	count := func(a fleet.Action) {
		if _, is := a.(fleet.ReadInstanceList); is {
			reads++
		}
	}
	d.run(testTick, count) // the first read
	reads = 0
	dead := testMember("v", peerpb.MemberState_MEMBER_STATE_DEAD)
	dead.Version = 1
	d.receive("b", dead)
	for _, id := range []string{"w", "x", "y", "z"} {
		d.receive("b", testMember(id, peerpb.MemberState_MEMBER_STATE_DEAD))
		d.run(testTick, count)
	}
	d.run(300*time.Millisecond, count)
	if reads != 1 {
		t.Fatalf("the instance list was read %d times within 500 ms of the first dead member, want 1", reads)
	}
}

// TestResponseOmitsEntriesOfTheRequest checks that a response does not repeat the
// entries that the sender has just reported, and that it returns newer ones.
func TestResponseOmitsEntriesOfTheRequest(t *testing.T) {
	d := newCoreDriver()
	for range 50 {
		d.receive("b") // use up the pending sends of the initial entries
	}
	suspect := testMember("v", peerpb.MemberState_MEMBER_STATE_SUSPECT)
	suspect.Version = 1
	if response := d.receive("b", suspect); len(response) != 0 {
		t.Fatalf("the response repeats %v", response)
	}
	if response := d.receive("b"); len(response) != 1 || response[0].GetInstance() != "v" {
		t.Fatalf("the next response has %v, want v", response)
	}
	old := testMember("v", peerpb.MemberState_MEMBER_STATE_ALIVE)
	if response := d.receive("b", old); len(response) != 1 || response[0].GetVersion() != 1 {
		t.Fatalf("the response to an outdated entry has %v, want the newer one", response)
	}
}

// TestNoEntriesSentForEqualTables checks that changed entries are not sent to members
// that already have all of them; otherwise sending them would take a minute after a
// fleet start.
func TestNoEntriesSentForEqualTables(t *testing.T) {
	d := newCoreDriver()
	for i := range 100 {
		d.receive("b", testMember(fmt.Sprintf("m%d", i), peerpb.MemberState_MEMBER_STATE_ALIVE))
	}
	self := testMember("b", peerpb.MemberState_MEMBER_STATE_ALIVE)
	exchange := func(hash uint64) *peerpb.ExchangeResponse {
		request := &peerpb.ExchangeRequest{From: "b", Incarnation: 1, Self: self, Deltas: &peerpb.Deltas{}, TableHash: hash}
		for _, action := range d.core.Step(d.now, fleet.ExchangeReceived{Request: request}) {
			if response, is := action.(fleet.PeerResponse); is {
				return response.Response
			}
		}
		t.Fatal("the core did not respond to the exchange")
		return nil
	}
	hash := exchange(0).GetTableHash()
	for range 30 {
		if entries := exchange(hash).GetDeltas().GetMembers(); len(entries) != 0 {
			t.Fatalf("a response to an equal table has %d entries", len(entries))
		}
	}
	if entries := exchange(0).GetDeltas().GetMembers(); len(entries) != 0 {
		t.Fatalf("%d entries still have to be sent after 30 exchanges", len(entries))
	}
}
