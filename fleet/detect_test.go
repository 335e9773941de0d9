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

// detector drives one core that knows two peers: b answers, v is silent.
type detector struct {
	core *fleet.Core
	now  time.Duration
}

func testMember(id string, state peerpb.MemberState) *peerpb.Member {
	return &peerpb.Member{
		Instance: id, Incarnation: 1, State: state, Address: id + ":7000",
		Region: "r-" + id, FailureDomain: "d-" + id, Half: "north",
	}
}

func newDetector() *detector {
	self := api.Member{
		ID: "a", Incarnation: 1, Address: "a:7000", Half: "north",
		Place: api.Place{Region: "r-a", FailureDomain: "d-a"},
	}
	d := &detector{core: fleet.NewCore(fleet.CoreOptions{Self: self, AutoExpel: true, Seed: 1}), now: time.Minute}
	d.receive("v", testMember("v", peerpb.MemberState_MEMBER_STATE_ALIVE))
	d.receive("b", testMember("b", peerpb.MemberState_MEMBER_STATE_ALIVE))
	return d
}

// receive delivers an exchange and returns the entries of the answer.
func (d *detector) receive(from string, deltas ...*peerpb.Member) []*peerpb.Member {
	request := &peerpb.ExchangeRequest{
		From: from, Incarnation: 1, Self: testMember(from, peerpb.MemberState_MEMBER_STATE_ALIVE),
		Deltas: &peerpb.Deltas{Members: deltas},
	}
	for _, action := range d.core.Step(d.now, fleet.ExchangeIn{Request: request}) {
		if answer, is := action.(fleet.Respond); is {
			return answer.Response.GetDeltas().GetMembers()
		}
	}
	return nil
}

// run ticks for the time; b stays in contact and each action is passed to see.
func (d *detector) run(length time.Duration, see func(fleet.Action)) {
	for end := d.now + length; d.now < end; {
		d.now += testTick
		d.receive("b")
		for _, action := range d.core.Step(d.now, fleet.Tick{}) {
			see(action)
		}
	}
}

func (d *detector) state(id api.InstanceID) api.MemberState {
	for _, m := range d.core.Members() {
		if m.ID == id {
			return m.State
		}
	}
	return api.MemberUnknown
}

func (d *detector) probeDone(ok bool) {
	d.core.Step(d.now, fleet.ProbeDone{To: "v", Incarnation: 1, SentAt: d.now, OK: ok})
}

func isProbe(action fleet.Action) bool {
	probe, is := action.(fleet.SendProbe)
	return is && probe.To == "v"
}

// reportedToB returns the state under which the exchange to b names v.
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

// TestLostProbeIsRepeated guards against a false suspect after one lost probe,
// and against a repetition that delays the suspicion of a dead member.
func TestLostProbeIsRepeated(t *testing.T) {
	for _, answered := range []bool{false, true} {
		d := newDetector()
		var sent []time.Duration
		start := d.now
		d.run(2450*time.Millisecond, func(a fleet.Action) {
			if isProbe(a) {
				sent = append(sent, d.now-start)
			}
		})
		if len(sent) != 2 || sent[0] != 2*time.Second || sent[1] != 2250*time.Millisecond {
			t.Fatalf("probes were sent after %v", sent)
		}
		if answered {
			d.probeDone(true)
		}
		d.now += 50 * time.Millisecond
		d.probeDone(false)
		want := api.MemberSuspect
		if answered {
			want = api.MemberAlive
		}
		if got := d.state("v"); got != want {
			t.Fatalf("second probe answered: %v; state %v, want %v", answered, got, want)
		}
	}
}

// TestDeathIsReportedAtOnce guards against a death that reaches the instances
// that expel only by gossip, and against a member that is declared dead before
// a suspect's 3 s have passed.
func TestDeathIsReportedAtOnce(t *testing.T) {
	d := newDetector()
	d.run(2500*time.Millisecond, func(fleet.Action) {})
	d.probeDone(false)
	suspected := d.now
	var died, reported time.Duration
	d.run(4*time.Second, func(a fleet.Action) {
		if change, is := a.(fleet.MemberChanged); is && change.Member.ID == "v" && change.Member.State == api.MemberDead {
			died = d.now - suspected
		}
		if reported == 0 && reportedToB(a) == peerpb.MemberState_MEMBER_STATE_DEAD {
			reported = d.now - suspected
		}
	})
	if died != 3*time.Second || reported != died {
		t.Fatalf("dead after %s and reported after %s", died, reported)
	}
}

// TestListIsReadAfterNewsOfADeath guards against an expulsion that waits for the
// next regular read of the platform's list, and against a read for each of many
// deaths.
func TestListIsReadAfterNewsOfADeath(t *testing.T) {
	d := newDetector()
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
		t.Fatalf("the list was read %d times within 500 ms of the first death", reads)
	}
}

// TestAnswerOmitsEntriesOfTheRequest guards against answers that repeat what the
// sender has just reported, and against one that withholds a newer entry.
func TestAnswerOmitsEntriesOfTheRequest(t *testing.T) {
	d := newDetector()
	for range 50 {
		d.receive("b") // spreads the entries of the start
	}
	suspect := testMember("v", peerpb.MemberState_MEMBER_STATE_SUSPECT)
	suspect.Version = 1
	if answer := d.receive("b", suspect); len(answer) != 0 {
		t.Fatalf("the answer repeats %v", answer)
	}
	if answer := d.receive("b"); len(answer) != 1 || answer[0].GetInstance() != "v" {
		t.Fatalf("the next answer has %v", answer)
	}
	old := testMember("v", peerpb.MemberState_MEMBER_STATE_ALIVE)
	if answer := d.receive("b", old); len(answer) != 1 || answer[0].GetVersion() != 1 {
		t.Fatalf("the answer to an old entry has %v", answer)
	}
}

// TestSameTableGetsNoEntries guards against a backlog of entries after a start
// that is sent for a minute to members that have all of them.
func TestSameTableGetsNoEntries(t *testing.T) {
	d := newDetector()
	for i := range 100 {
		d.receive("b", testMember(fmt.Sprintf("m%d", i), peerpb.MemberState_MEMBER_STATE_ALIVE))
	}
	self := testMember("b", peerpb.MemberState_MEMBER_STATE_ALIVE)
	exchange := func(hash uint64) *peerpb.ExchangeResponse {
		request := &peerpb.ExchangeRequest{From: "b", Incarnation: 1, Self: self, Deltas: &peerpb.Deltas{}, TableHash: hash}
		for _, action := range d.core.Step(d.now, fleet.ExchangeIn{Request: request}) {
			if answer, is := action.(fleet.Respond); is {
				return answer.Response
			}
		}
		t.Fatal("no answer")
		return nil
	}
	hash := exchange(0).GetTableHash()
	for range 30 {
		if entries := exchange(hash).GetDeltas().GetMembers(); len(entries) != 0 {
			t.Fatalf("an answer to the same table has %d entries", len(entries))
		}
	}
	if entries := exchange(0).GetDeltas().GetMembers(); len(entries) != 0 {
		t.Fatalf("%d entries still wait after 30 exchanges", len(entries))
	}
}
