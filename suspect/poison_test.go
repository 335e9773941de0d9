package suspect

import (
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	simEngines  = 24
	simContents = 400
	simStep     = 20 * time.Millisecond
	simSeeds    = 12
	// maxCrashes is the highest number of crashes that one poison request may
	// cause. It allows for crashes before the marks have reached all instances.
	maxCrashes = 6
	// maxMarkedShare bounds the share of the harmless content that gets marked. It
	// is above the share that three crashes of one of 24 engines mark.
	maxMarkedShare = 0.06
	poisonSends    = 8 // times that the caller sends a refused poison request again
)

// simulation is a fleet in which one caller sends one poison request repeatedly.
// No engine crashes for another reason.
type simulation struct {
	random      *rand.Rand
	cores       []*Core // one per instance
	contents    []*simContent
	downUntil   [simEngines]time.Duration
	nextContent int

	marked, refused, seen map[api.Digest]bool
	crashes               int
}

type simContent struct {
	digest        api.Digest
	core          int
	engine        int           // -1: waiting
	crashedEngine int           // engine that crashed while running it; -1: none
	notBefore     time.Duration // earliest placement of content that runs alone
	endsAt        time.Duration
	poison        bool
	sends         int
	finished      bool
}

func newSimulation(seed uint64, instances int, m mutation) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, 1)), marked: map[api.Digest]bool{},
		refused: map[api.Digest]bool{}, seen: map[api.Digest]bool{},
	}
	for range instances {
		s.cores = append(s.cores, NewCore(CoreOptions{mutation: m}))
	}
	for range simContents {
		s.addContent(0)
	}
	return s
}

func (s *simulation) addContent(now time.Duration) *simContent {
	s.nextContent++
	c := &simContent{digest: content(s.nextContent), core: s.random.IntN(len(s.cores)), engine: -1, crashedEngine: -1}
	s.contents = append(s.contents, c)
	s.seen[c.digest] = true
	s.place(now, c)
	return c
}

func (s *simulation) level(now time.Duration, c *simContent) api.Isolation {
	return s.cores[c.core].IsolationLevel(now, c.digest)
}

// place places content by the rules of its isolation level. An instance knows
// only the content that it has placed itself.
func (s *simulation) place(now time.Duration, c *simContent) {
	level := s.level(now, c)
	if level == api.IsolationExclusive && now < c.notBefore {
		return
	}
	if level == api.IsolationRefused {
		if !c.poison {
			s.refused[c.digest] = true
		}
		c.finished = true
		return
	}
	var load, marked [simEngines]int
	alone := false
	for _, other := range s.contents {
		if other != c && other.engine >= 0 && other.core == c.core {
			load[other.engine]++
			if l := s.level(now, other); l > api.IsolationNone {
				marked[other.engine]++
				alone = alone || l == api.IsolationExclusive
			}
		}
	}
	best := -1
	for e := range simEngines {
		if now < s.downUntil[e] || e == c.crashedEngine {
			continue
		}
		var better bool
		switch {
		case best < 0:
			better = true
		case level == api.IsolationExclusive:
			better = rendezvousWeight(c.digest, e) > rendezvousWeight(c.digest, best)
		case level == api.IsolationSeparate && marked[e] != marked[best]:
			better = marked[e] < marked[best]
		default:
			better = load[e] < load[best] || load[e] == load[best] && s.random.IntN(2) == 0
		}
		if better {
			best = e
		}
	}
	if level == api.IsolationExclusive && alone {
		return // waits until the other content that runs alone has ended
	}
	c.engine = best
	// Harmless content runs for up to a minute, a poison request crashes its engine
	// after 50 ms to 5 s.
	c.endsAt = now + time.Duration(1+s.random.IntN(60_000))*time.Millisecond
	if c.poison {
		c.endsAt = now + time.Duration(50+s.random.IntN(5_000))*time.Millisecond
	}
}

func rendezvousWeight(digest api.Digest, engine int) uint64 {
	return xxhash.Sum64(append(digest[:], byte(engine)))
}

func (s *simulation) crashEngine(now time.Duration, poison *simContent) {
	s.crashes++
	engine := poison.engine
	s.downUntil[engine] = now + 5*time.Second
	lost := make([][]api.Digest, len(s.cores))
	for _, c := range s.contents {
		if c.engine == engine {
			lost[c.core] = append(lost[c.core], c.digest)
			c.engine, c.crashedEngine = -1, engine
			c.notBefore = now + refusalDelay
		}
	}
	for i, core := range s.cores {
		if len(lost[i]) > 0 {
			core.Step(now, EndpointCrashed{Endpoint: api.EndpointID(rune('a' + engine)), Domain: api.FailureDomain(rune('A' + engine%3)), Running: lost[i]})
		}
	}
}

func (s *simulation) exchangeMarks(now time.Duration) {
	for i, core := range s.cores {
		marks := core.Collect(now, 1<<20)
		for k := 1; k <= 3; k++ {
			s.cores[(i+k)%len(s.cores)].Step(now, MarksReceived{Marks: marks})
		}
	}
}

func (s *simulation) run() {
	poison := s.addContent(0)
	poison.poison = true
	poison.endsAt = time.Second
	for now := simStep; now < 90*time.Second; now += simStep {
		if !poison.finished && poison.engine >= 0 && now >= poison.endsAt {
			s.crashEngine(now, poison)
		}
		kept := s.contents[:0]
		for _, c := range s.contents {
			if !c.poison && c.engine >= 0 && now >= c.endsAt {
				s.cores[c.core].Step(now, ContentCompleted{Digest: c.digest})
				c.finished = true
			}
			if !c.finished || c.poison {
				kept = append(kept, c)
			}
		}
		s.contents = kept
		for len(s.contents) <= simContents {
			s.addContent(now)
		}
		for _, c := range s.contents {
			if c.engine < 0 && !c.finished {
				s.place(now, c)
			}
			if l := s.level(now, c); l > api.IsolationNone && !c.poison {
				s.marked[c.digest] = true
			}
		}
		if poison.finished && poison.sends < poisonSends {
			// The caller sends the request again, to any instance.
			poison.finished, poison.engine, poison.crashedEngine = false, -1, -1
			poison.notBefore = now + refusalDelay
			poison.sends++
			poison.core = s.random.IntN(len(s.cores))
		}
		if now%time.Second == 0 {
			s.exchangeMarks(now)
		}
	}
}

// outcome holds sums over the simulations of many seeds.
type outcome struct{ marked, seen, crashes, refused, maxCrashesOfSeed int }

func simulate(seeds uint64, instances int, m mutation) (sum outcome) {
	for seed := range seeds {
		s := newSimulation(seed, instances, m)
		s.run()
		sum.marked += len(s.marked)
		sum.seen += len(s.seen)
		sum.crashes += s.crashes
		sum.maxCrashesOfSeed = max(sum.maxCrashesOfSeed, s.crashes)
		sum.refused += len(s.refused)
	}
	return sum
}

// TestHarmlessContentBesidePoisonRequest guards against refusing harmless content
// because it shared engines with a poison request, and against a poison request
// that keeps crashing engines. SUSPECT_SEEDS sets the number of seeds and logs
// the shares.
func TestHarmlessContentBesidePoisonRequest(t *testing.T) {
	seeds, err := strconv.ParseUint(os.Getenv("SUSPECT_SEEDS"), 10, 32)
	verbose := err == nil
	if !verbose {
		seeds = simSeeds
	}
	for _, instances := range []int{1, 6} {
		sum := simulate(seeds, instances, "")
		if verbose {
			t.Logf("instances %d, seeds %d: %+v, marked %.2f%%", instances, seeds, sum, 100*float64(sum.marked)/float64(sum.seen))
		}
		if sum.refused > 0 {
			t.Errorf("%d instances: %d items of harmless content were refused", instances, sum.refused)
		}
		if sum.maxCrashesOfSeed > maxCrashes {
			t.Errorf("%d instances: the poison request crashed %d engines", instances, sum.maxCrashesOfSeed)
		}
		if share := float64(sum.marked) / float64(sum.seen); share > maxMarkedShare {
			t.Errorf("%d instances: %.1f%% of the harmless content was marked", instances, 100*share)
		}
	}
}
