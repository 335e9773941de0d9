package quarantine

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	smallServicePoison   = Part(1)
	smallServiceAttempts = 3
	smallServiceRestart  = 3 * time.Second
	smallServiceDuration = 20 * time.Second
	// smallServiceQuiet is the time after the load in which each content is requested
	// once a second, until all sound ones have to be served.
	smallServiceQuiet = 60 * time.Second
	// noticeTime and maxLateSends are the users' bound: so many requests with the content
	// may reach engines later than the time after the third crash.
	noticeTime   = 3 * time.Second
	maxLateSends = 3
)

// smallService is a model of instances before a few engines. One content crashes the
// engines; the others run for a while. Crash records reach other instances late.
type smallService struct {
	random    *rand.Rand
	now       time.Duration
	events    eventHeap
	cores     []*Core
	engines   []*modelEngine
	sent      []time.Duration // of the poison content
	thirdAt   time.Duration
	crashes   int
	served    map[Part]bool
	delay     time.Duration // between instances
	soundTime time.Duration // longest run of a sound request
}

type modelEngine struct {
	start   int
	up      bool
	running []*modelRequest
}

type modelRequest struct {
	instance int
	content  Part
	attempts int
	trial    bool
	tried    []int
}

type modelEvent struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []modelEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(modelEvent)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (s *smallService) after(d time.Duration, run func()) {
	heap.Push(&s.events, modelEvent{at: s.now + d, seq: len(s.events) + s.random.IntN(1<<20), run: run})
}

// gossip sends the records of an instance to all others.
func (s *smallService) gossip(from int) {
	deltas := recordsFromProto(s.cores[from].Collect(s.now, 4096))
	for i, core := range s.cores {
		if i != from {
			s.after(s.delay, func() { core.Step(s.now, deltas) })
		}
	}
}

// arrive lets a request arrive at a random instance.
func (s *smallService) arrive(content Part) {
	r := &modelRequest{instance: s.random.IntN(len(s.cores)), content: content}
	core := s.cores[r.instance]
	if a := core.Assess(s.now, Request{Content: content}); a.Refused() {
		if r.trial = core.StartTrial(s.now, a, r.instance); !r.trial {
			return
		}
		s.gossip(r.instance)
	}
	s.place(r)
}

// place sends a request to the engine with the fewest requests that it has not tried.
func (s *smallService) place(r *modelRequest) {
	core := s.cores[r.instance]
	refused := core.Assess(s.now, Request{Content: r.content}).Refused()
	if r.attempts == smallServiceAttempts || refused && (!r.trial || r.attempts > 0) {
		return
	}
	chosen := -1
	for i, e := range s.engines {
		if e.up && !slices.Contains(r.tried, i) && (chosen < 0 || len(e.running) < len(s.engines[chosen].running)) {
			chosen = i
		}
	}
	if chosen < 0 {
		return
	}
	r.attempts++
	r.tried = append(r.tried, chosen)
	e := s.engines[chosen]
	e.running = append(e.running, r)
	start := e.start
	duration := time.Duration(s.random.Int64N(int64(s.soundTime)))
	if r.content == smallServicePoison {
		s.sent = append(s.sent, s.now)
		duration = 60 * time.Millisecond
	}
	s.after(duration, func() {
		if e.start == start && e.up {
			s.finish(chosen, r)
		}
	})
}

func (s *smallService) finish(engine int, r *modelRequest) {
	if r.content == smallServicePoison {
		s.crash(engine)
		return
	}
	e := s.engines[engine]
	e.running = slices.DeleteFunc(e.running, func(other *modelRequest) bool { return other == r })
	s.served[r.content] = true
	if s.cores[r.instance].Step(s.now, RequestCompleted{Request{Content: r.content}}) {
		s.gossip(r.instance)
	}
}

func (s *smallService) crash(engine int) {
	e := s.engines[engine]
	if s.crashes++; s.crashes == 3 {
		s.thirdAt = s.now
	}
	interrupted := e.running
	e.up, e.running = false, nil
	for i, core := range s.cores {
		ev := EngineCrashed{Endpoint: api.EndpointID(fmt.Sprint(engine)), Incarnation: int64(e.start), Domain: api.FailureDomain(fmt.Sprint(engine))}
		for _, r := range interrupted {
			if r.instance == i {
				ev.Running = append(ev.Running, Request{Content: r.content})
			}
		}
		if len(ev.Running) > 0 && core.Step(s.now, ev) {
			s.gossip(i)
		}
	}
	for _, r := range interrupted {
		s.place(r)
	}
	s.after(smallServiceRestart, func() { e.up = true; e.start++ })
}

// load lets requests with the content arrive until a time, at random intervals.
func (s *smallService) load(content Part, mean, until time.Duration) {
	if s.now < until {
		s.arrive(content)
		s.after(time.Duration(s.random.ExpFloat64()*float64(mean)), func() { s.load(content, mean, until) })
	}
}

func (s *smallService) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at < until {
		next := heap.Pop(&s.events).(modelEvent)
		s.now = next.at
		next.run()
	}
	s.now = until
}

// TestSmallServiceFindsContent guards against content that goes on crashing the engines
// of a small service, and against sound content that is refused for good.
func TestSmallServiceFindsContent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := &smallService{
			random: rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0)), now: time.Hour, served: make(map[Part]bool),
			delay:     time.Duration(rapid.IntRange(1, 150).Draw(rt, "delay ms")) * time.Millisecond,
			soundTime: time.Duration(rapid.IntRange(30, 1100).Draw(rt, "sound ms")) * time.Millisecond,
		}
		for range rapid.IntRange(2, 8).Draw(rt, "instances") {
			s.cores = append(s.cores, NewCore())
		}
		for range 3 {
			s.engines = append(s.engines, &modelEngine{up: true})
		}
		loadEnd := s.now + smallServiceDuration
		s.load(smallServicePoison, time.Duration(rapid.IntRange(50, 2000).Draw(rt, "poison interval ms"))*time.Millisecond, loadEnd)
		var sound []Part
		for content := range Part(rapid.IntRange(1, 6).Draw(rt, "sound contents")) {
			sound = append(sound, 2+content)
			s.load(2+content, time.Duration(rapid.IntRange(50, 2000).Draw(rt, "sound interval ms"))*time.Millisecond, loadEnd)
		}
		s.run(loadEnd)
		late := 0
		for _, at := range s.sent {
			if s.crashes >= 3 && at > s.thirdAt+noticeTime {
				late++
			}
		}
		if late > maxLateSends {
			rt.Fatalf("%d crashes, %d requests with the content, %d of them late", s.crashes, len(s.sent), late)
		}
		clear(s.served)
		for _, content := range sound {
			s.load(content, time.Second, loadEnd+smallServiceQuiet)
		}
		s.run(loadEnd + smallServiceQuiet)
		for _, content := range sound {
			if !s.served[content] {
				rt.Fatalf("sound content %d is not served in %v after the load", content, smallServiceQuiet)
			}
		}
	})
}
