package overflow_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/overflow"
)

func TestOverflow(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "overflow")
}

const (
	simStep     = 250 * time.Millisecond
	newsAge     = 500 * time.Millisecond
	idleDelay   = 1500 * time.Millisecond
	requestTime = 6 * time.Second
)

// simZone is a zone with a number of places, whose requests end evenly.
type simZone struct {
	name    api.FailureDomain
	arrival float64 // requests per second that enter at the zone's instances
	places  int
	running float64
	core    *overflow.Core
	cut     bool // the other region has no news of the zone and cannot reach it
}

func (z *simZone) delay() time.Duration {
	if z.places == 0 {
		return 0
	}
	u := z.running / float64(z.places)
	return idleDelay + time.Duration(max(0, u-0.7)*3*float64(idleDelay))
}

// zoneSim simulates zones of which each decides on its own with news of the others that is
// newsAge old.
type zoneSim struct {
	zones   []*simZone
	now     time.Duration
	history [][]overflow.ZoneLoad // news of all zones by step
	// mutual is set when two zones send to each other, sendingReceiver when a zone that
	// gets a share of another's requests sends some itself.
	mutual, sendingReceiver bool
	maxRise                 float64 // highest rise of a share within a step
	lowest, highest         float64 // total share of the first zone
}

func newZoneSim(arrivals ...float64) *zoneSim {
	s := &zoneSim{}
	regions := make(map[api.FailureDomain]api.Region)
	for i := range arrivals {
		regions[zoneName(i)] = regionOf(i)
	}
	for i, arrival := range arrivals {
		s.zones = append(s.zones, &simZone{
			name: zoneName(i), arrival: arrival, places: 150, running: arrival * requestTime.Seconds(),
			core: overflow.NewCore(overflow.Options{Place: api.Place{Region: regionOf(i), FailureDomain: zoneName(i)}, Regions: regions, RegionMbps: 60}),
		})
	}
	return s
}

func zoneName(i int) api.FailureDomain { return api.FailureDomain(fmt.Sprint("z", i)) }

// regionOf puts the first three zones into one region.
func regionOf(i int) api.Region { return api.Region(fmt.Sprint("r", i/3)) }

func total(shares map[api.FailureDomain]float64) float64 {
	sum := 0.0
	for _, zone := range slices.Sorted(maps.Keys(shares)) {
		sum += shares[zone]
	}
	return sum
}

func (s *zoneSim) shares(i int) map[api.FailureDomain]float64 { return s.zones[i].core.Shares("llm") }

func (s *zoneSim) utilization(i int) float64 { return s.zones[i].running / float64(s.zones[i].places) }

// otherRegionShare returns what the first zone sends to the other region.
func (s *zoneSim) otherRegionShare() float64 {
	return s.shares(0)[zoneName(3)] + s.shares(0)[zoneName(4)] + s.shares(0)[zoneName(5)]
}

// run advances the simulation.
func (s *zoneSim) run(duration time.Duration) {
	for end := s.now + duration; s.now < end; s.now += simStep {
		s.step()
	}
}

func (s *zoneSim) step() {
	var current []overflow.ZoneLoad
	for _, z := range s.zones {
		current = append(current, overflow.ZoneLoad{
			Service: "llm", Zone: z.name, Running: int(z.core.Demand("llm", z.running) + 0.5), Places: z.places,
			Delay: z.delay(), Duration: requestTime, Target: 4 * time.Second,
		})
	}
	s.history = append(s.history, current)
	old := s.history[max(0, len(s.history)-1-int(newsAge/simStep))]
	before := make([]float64, len(s.zones))
	for i, z := range s.zones {
		before[i] = total(s.shares(i))
		loads := append([]overflow.ZoneLoad(nil), old...)
		for j := range loads {
			loads[j].Places = s.zones[j].places // known from the registry
			loads[j].Age = newsAge
			if s.zones[j].cut != z.cut {
				loads[j].Age = 10 * time.Second
			}
		}
		loads[i] = current[i]
		loads[i].Running, loads[i].Age = int(z.running+0.5), 0
		z.core.Update(s.now, loads)
	}
	s.check(before)
	s.move()
}

func (s *zoneSim) check(before []float64) {
	for i, z := range s.zones {
		share := total(s.shares(i))
		s.maxRise = max(s.maxRise, share-before[i])
		if i == 0 {
			s.lowest, s.highest = min(s.lowest, share), max(s.highest, share)
		}
		for j, other := range s.zones {
			if s.shares(i)[other.name] > 0 {
				s.mutual = s.mutual || s.shares(j)[z.name] > 0
				s.sendingReceiver = s.sendingReceiver || total(s.shares(j)) > 0
			}
		}
	}
}

func (s *zoneSim) move() {
	for _, z := range s.zones {
		z.running *= 1 - simStep.Seconds()/requestTime.Seconds()
	}
	for _, z := range s.zones {
		entering, stay := z.arrival*simStep.Seconds(), 1.0
		for _, other := range s.zones {
			share := z.core.Shares("llm")[other.name]
			other.running += share * entering
			stay -= share
		}
		z.running += stay * entering
	}
}

var _ = Describe("Core", func() {
	// Guards against requests that leave although their zone has room: the path is billed.
	It("keeps all requests in their zones at an even load and at one within a third", func() {
		s := newZoneSim(9, 9, 9, 9, 9, 9)
		s.run(30 * time.Second)
		for i := range s.zones {
			Expect(s.shares(i)).To(BeEmpty())
		}
		s = newZoneSim(8, 10, 9, 11, 9, 8)
		s.run(30 * time.Second)
		for i := range s.zones {
			Expect(s.shares(i)).To(BeEmpty())
		}
	})

	// Guards against callers that are late at a loaded zone while others are nearly idle, and
	// against a use of the region's link before the zones of the own region are used.
	It("spreads the load of one of six zones over its region", func() {
		s := newZoneSim(24, 4, 6, 6, 6, 6)
		s.run(40 * time.Second)
		GinkgoWriter.Println("shares:", s.shares(0), "utilization:", s.utilization(0), s.utilization(1), s.utilization(2))
		Expect(s.utilization(0)).To(BeNumerically("<", 0.85))
		Expect(s.shares(0)).To(HaveKey(zoneName(1)))
		Expect(s.shares(0)).To(HaveKey(zoneName(2)))
		Expect(s.shares(0)[zoneName(1)]).To(BeNumerically(">=", s.shares(0)[zoneName(2)]))
		Expect(s.otherRegionShare()).To(BeNumerically("<", 0.02))
		Expect(s.mutual).To(BeFalse())
		Expect(s.maxRise).To(BeNumerically("<=", 0.2*simStep.Seconds()+1e-9))
		// With more load than the region takes, most of what leaves still stays in it.
		s = newZoneSim(30, 6, 8, 6, 6, 6)
		s.run(40 * time.Second)
		Expect(s.utilization(0)).To(BeNumerically("<", 0.85))
		Expect(s.otherRegionShare()).To(BeNumerically("<", total(s.shares(0))/2))
	})

	// Guards against shares that swing between zones while a zone lacks engines for minutes.
	It("holds a steady share for a zone that stays short for long, and ends it afterwards", func() {
		s := newZoneSim(24, 8, 8, 8, 8, 8)
		s.run(20 * time.Second)
		s.lowest, s.highest = 1, 0
		s.run(2 * time.Minute)
		GinkgoWriter.Println("lowest:", s.lowest, "highest:", s.highest, "shares:", s.shares(0), "utilization:", s.utilization(0))
		Expect(total(s.shares(0))).To(BeNumerically(">", 0.1))
		Expect(s.utilization(0)).To(BeNumerically("<", 0.85))
		Expect(s.highest - s.lowest).To(BeNumerically("<", 0.1))
		s.zones[0].arrival = 8
		s.run(25 * time.Second)
		Expect(s.shares(0)).To(BeEmpty())
	})

	// Guards against two zones that send each other their requests, which costs both paths and
	// helps neither.
	It("does not let two loaded zones send to each other", func() {
		s := newZoneSim(28, 24, 6, 6, 6, 6)
		s.run(time.Minute)
		Expect(s.mutual).To(BeFalse())
		Expect(s.sendingReceiver).To(BeFalse())
		Expect(s.utilization(0)).To(BeNumerically("<", 0.9))
		Expect(s.utilization(1)).To(BeNumerically("<", 0.9))
		Expect(s.utilization(2)).To(BeNumerically("<", 0.9))
	})

	// Guards against requests that wait at the few engines that a crash has left, and against
	// traffic that does not return when the engines are back.
	It("sends the load of a zone whose engines crash for 1.2 s to several zones at once and takes it back", func() {
		s := newZoneSim(10, 10, 10, 10, 10, 10)
		s.run(5 * time.Second)
		for range 4 {
			crashed := s.zones[0]
			crashed.places, crashed.running = 15, crashed.running/10
			s.run(simStep)
			GinkgoWriter.Println("shares after the crash:", s.shares(0))
			Expect(total(s.shares(0))).To(BeNumerically(">", 0.7))
			Expect(len(s.shares(0))).To(BeNumerically(">=", 2))
			s.run(1200*time.Millisecond - simStep)
			Expect(s.utilization(0)).To(BeNumerically("<", 1))
			crashed.places = 150
			s.run(2 * time.Second)
			Expect(total(s.shares(0))).To(BeNumerically("<", 0.05))
			s.run(2800 * time.Millisecond)
		}
		Expect(s.mutual).To(BeFalse())
		for i := range s.zones {
			Expect(s.utilization(i)).To(BeNumerically("<", 0.8))
		}
	})

	// Guards against requests that wait in a zone without any engine.
	It("sends all requests of a zone without ready engines away, to several zones", func() {
		s := newZoneSim(10, 10, 10, 10, 10, 10)
		s.run(5 * time.Second)
		s.zones[0].places, s.zones[0].running = 0, 0
		s.step()
		Expect(total(s.shares(0))).To(BeNumerically("~", 1, 1e-9))
		Expect(len(s.shares(0))).To(BeNumerically(">=", 2))
		s.now += simStep
		s.zones[0].places = 150
		s.run(2 * time.Second)
		Expect(total(s.shares(0))).To(BeNumerically("<", 0.05))
	})

	// Guards against requests sent over a cut link.
	It("uses only the own region while the regions are cut from each other", func() {
		s := newZoneSim(40, 20, 20, 2, 2, 2)
		s.run(20 * time.Second)
		Expect(s.shares(0)).To(HaveKey(zoneName(3)))
		for i := range 3 {
			s.zones[i].cut = true
		}
		s.run(simStep)
		for i := 3; i < 6; i++ {
			Expect(s.shares(0)).NotTo(HaveKey(zoneName(i)))
		}
	})

	// Guards against overflow that fills the link of the region, which all traffic shares.
	It("sends at most a quarter of what the region's link carries to another region", func() {
		s := newZoneSim(120, 60, 60, 2, 2, 2)
		s.zones[3].places, s.zones[4].places, s.zones[5].places = 2000, 2000, 2000
		s.run(30 * time.Second)
		other := 0.0
		for i := range 3 {
			for j := 3; j < 6; j++ {
				other += s.shares(i)[zoneName(j)] * s.zones[i].arrival
			}
		}
		Expect(other).To(BeNumerically(">", 10))
		Expect(other * 24 * 1024 * 8).To(BeNumerically("<=", 60e6/4*1.01))
	})

	// Guards against sending to a zone that may be full or down.
	It("counts a zone without news for 3 s as full", func() {
		core := overflow.NewCore(overflow.Options{Place: api.Place{Region: "r0", FailureDomain: "z0"}, Regions: map[api.FailureDomain]api.Region{"z0": "r0", "z1": "r0"}})
		loads := []overflow.ZoneLoad{
			{Service: "llm", Zone: "z0", Running: 200, Places: 150, Delay: 4 * time.Second},
			{Service: "llm", Zone: "z1", Running: 0, Places: 150, Delay: time.Second, Age: 3 * time.Second},
		}
		for i := range 20 {
			core.Update(time.Duration(i)*simStep, loads)
		}
		Expect(core.Shares("llm")).To(BeEmpty())
		loads[1].Age = 2900 * time.Millisecond
		for i := range 5 {
			core.Update(time.Duration(20+i)*simStep, loads)
		}
		Expect(core.Shares("llm")).To(HaveKey(api.FailureDomain("z1")))
	})
})
