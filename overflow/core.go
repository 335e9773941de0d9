// Package overflow decides for each service which share of the requests of this instance's
// failure domain (zone) goes to other zones, and to which. It uses the load of the zones as
// the instances report it to each other. Core has no I/O and no clock.
package overflow

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// newsTTL is the age from which the news of a zone is not used; the zone then counts as
	// full. News takes one or two seconds to reach all instances.
	newsTTL = 3 * time.Second
	// marginShare is the part of the latency target by which another zone has to be faster
	// before requests go there. They return when it is less than half of that.
	marginShare = 0.1
	// defaultTarget is the latency target of a service of which none is known.
	defaultTarget = 4 * time.Second
	// riseRate and fallRate bound how fast the share changes, in shares per second. News of
	// the effect comes with a delay of a second or two.
	riseRate = 0.2
	fallRate = 0.1
	// minDifference is by how much the utilization of another zone by its own demand has to be
	// lower. The estimates of the instances of a zone differ by less, so that two zones with
	// about the same demand don't send to each other.
	minDifference = 0.15
	// startDelay is how long leaving has to pay off before the first requests leave. Loads are
	// known from a few reports a second, and one that is wrong must not start it.
	startDelay = 750 * time.Millisecond
	// deadBand is the difference below which the share stays. Loads are counts that change
	// with each request.
	deadBand = 0.03
	// maxUpdateInterval bounds the time that one update accounts for, so that a process that
	// was suspended does not move the share at once.
	maxUpdateInterval = time.Second
	// maxShare is the share above which a zone with ready endpoints does not go, so that its
	// delay is still measured.
	maxShare = 0.95
	// minShare is the share below which a decision counts as ended.
	minShare = 0.01
	// fullUtilization is the utilization from which a zone takes no requests of others.
	fullUtilization = 0.9
	// maxUtilization bounds the utilization in the expected delay, which grows without bound
	// as it approaches 1.
	maxUtilization = 0.95
	// queueWeight is the weight of the queueing term of the expected delay. An engine takes
	// several requests at a time, so the delay grows late: at 0.25, a zone whose places are
	// four fifths in use delays a request by as much again as an idle one takes.
	queueWeight = 0.25
	// spareShare is the part of another zone's spare room that this zone uses. Other zones
	// use the same room before news of it arrives.
	spareShare = 0.5
	// settleTime is the time constant with which the running requests follow a changed
	// share if the duration of a request is not known.
	settleTime = 5 * time.Second
	// placesWindow is how long a loss of places counts as a crash, whose share follows the
	// places that are left at once.
	placesWindow = 10 * time.Second
	// minPlacesLeft is the part of the usual places below which places count as lost.
	minPlacesLeft = 0.9
	// crashUtilization is the utilization up to which the places that a crash has left are
	// used.
	crashUtilization = 0.7
	// zonePath and regionPath are the round trips to another zone and to another region.
	zonePath   = 3 * time.Millisecond
	regionPath = 16 * time.Millisecond
	// regionLinkShare is the part of the link between regions that overflow may use.
	regionLinkShare = 0.25
	// requestBytes is what a generation moves through the link: 8 KB in and 16 KB out.
	requestBytes = 24 << 10
)

// ZoneLoad is the load of a service in one zone.
type ZoneLoad struct {
	Service string
	Zone    api.FailureDomain
	// Running is the number of running requests. For a zone that sends requests away it
	// includes those.
	Running int
	// Places is the number of requests for which the ready endpoints have room.
	Places int
	// Delay is the time until the first event or the response; 0 is unknown.
	Delay time.Duration
	// Duration is how long a request takes; 0 is unknown. It is used for the own zone.
	Duration time.Duration
	// Age is the age of Running and Delay.
	Age time.Duration
	// Target is the latency target of the service; 0 is unknown.
	Target time.Duration
}

// Options configures a Core.
type Options struct {
	Place   api.Place
	Regions map[api.FailureDomain]api.Region
	// RegionMbps is the bandwidth of the link of a region to the others in Mbit/s.
	RegionMbps float64
}

// Core decides which requests leave the zone. It is not safe for concurrent use.
type Core struct {
	o        Options
	services map[string]*decision
}

// decision is the state of one service.
type decision struct {
	at time.Duration // last update
	// payingSince is when leaving began to pay off; negative: it doesn't.
	payingSince time.Duration
	share       float64 // part of the zone's requests that goes to other zones, without crashes
	shares      map[api.FailureDomain]float64
	// settled follows the shares with the time that running requests need to end. It says
	// which part of the zone's running requests is in another zone.
	settled map[api.FailureDomain]float64
	places  []placesSample // places of the own zone within placesWindow
	// usualDemand is the demand before places were lost. The requests that ran there are gone,
	// but as many arrive.
	usualDemand float64
}

type placesSample struct {
	at     time.Duration
	places int
}

// NewCore returns a core that sends no requests away.
func NewCore(o Options) *Core { return &Core{o: o, services: make(map[string]*decision)} }

// SetRegions sets the region of each zone.
func (c *Core) SetRegions(regions map[api.FailureDomain]api.Region) { c.o.Regions = regions }

// Shares returns the shares of this zone's requests for a service that go to other zones.
func (c *Core) Shares(service string) map[api.FailureDomain]float64 {
	if d, ok := c.services[service]; ok {
		return maps.Clone(d.shares)
	}
	return nil
}

// Demand returns the number of running requests of the own zone, wherever they run, if the
// given number runs in the zone.
func (c *Core) Demand(service string, running float64) float64 {
	if d, ok := c.services[service]; ok {
		return running / (1 - min(sum(d.settled), maxShare))
	}
	return running
}

// Update decides anew. The loads contain each zone with endpoints, also without news.
func (c *Core) Update(now time.Duration, loads []ZoneLoad) {
	byService := make(map[string][]ZoneLoad)
	for _, load := range loads {
		byService[load.Service] = append(byService[load.Service], load)
	}
	maps.DeleteFunc(c.services, func(service string, _ *decision) bool { return byService[service] == nil })
	for service, zones := range byService {
		d, ok := c.services[service]
		if !ok {
			d = &decision{at: now, payingSince: -1, settled: make(map[api.FailureDomain]float64)}
			c.services[service] = d
		}
		slices.SortFunc(zones, func(a, b ZoneLoad) int { return cmp.Compare(a.Zone, b.Zone) })
		c.decide(now, d, zones)
	}
}

// receiver is a zone that may get requests of the own zone.
type receiver struct {
	zone  api.FailureDomain
	local bool // in the own region
	// room is the number of requests of the own zone for which it has room, and settled how
	// many of these are there.
	room, settled float64
}

func (c *Core) decide(now time.Duration, d *decision, zones []ZoneLoad) {
	elapsed := min(now-d.at, maxUpdateInterval)
	d.at = now
	own := ZoneLoad{Zone: c.o.Place.FailureDomain, Target: zones[0].Target, Duration: zones[0].Duration}
	var others []ZoneLoad
	for _, z := range zones {
		if z.Zone == own.Zone {
			own = z
		} else if z.Places > 0 {
			others = append(others, z)
		}
	}
	d.settle(elapsed, cmp.Or(own.Duration, settleTime))
	demand := float64(own.Running) / (1 - min(sum(d.settled), maxShare))
	if own.Places <= 0 {
		demand = max(demand, d.usualDemand)
		d.shares = c.spread(1, c.receiversWithoutOwn(d, others, demand), demand, own)
		return
	}
	usual := d.usualPlaces(now, own.Places)
	if lostPlaces(own.Places, usual) {
		demand = max(demand, d.usualDemand)
	} else {
		d.usualDemand = demand
	}
	receivers, target := c.weigh(d, own, others, demand, usual)
	if target == 0 {
		d.payingSince = -1
	} else if d.payingSince < 0 {
		d.payingSince = now
	}
	if d.share == 0 && now-d.payingSince < startDelay {
		target = 0
	}
	seconds := elapsed.Seconds()
	if math.Abs(target-d.share) > deadBand || target == 0 {
		d.share += min(max(target-d.share, -fallRate*seconds), riseRate*seconds)
	}
	total := max(d.share, crashShare(demand, own.Places, usual))
	if total > d.share {
		// After a crash, any zone with room is better than the places that are left.
		receivers = c.receivers(d, others, demand, untilFull)
	}
	d.shares = c.spread(total, receivers, demand, own)
}

// lostPlaces reports whether so many places are gone that endpoints have crashed. Places also
// vary a little with the measured speed of the endpoints.
func lostPlaces(places, usual int) bool { return float64(places) < minPlacesLeft*float64(usual) }

// crashShare returns the share that has to leave at once because places were lost.
func crashShare(demand float64, places, usual int) float64 {
	if !lostPlaces(places, usual) || demand <= 0 {
		return 0
	}
	lost := 1 - float64(places)/float64(usual)
	return max(0, min(lost, 1-crashUtilization*float64(places)/demand))
}

// weigh returns the zones to which leaving pays off, and the share that has to leave.
func (c *Core) weigh(d *decision, own ZoneLoad, others []ZoneLoad, demand float64, usual int) ([]receiver, float64) {
	base := baseDelay(own, others)
	margin := time.Duration(marginShare * float64(cmp.Or(own.Target, defaultTarget)))
	threshold := margin
	if d.share > 0 {
		threshold = margin / 2
	}
	stay := expectedDelay(own.Delay, base, demand/float64(usual))
	least := stay
	for _, z := range others {
		if z.Age < newsTTL {
			least = min(least, expectedDelay(z.Delay, base, float64(z.Running)/float64(z.Places)))
		}
	}
	// A zone that is slower than the fastest by more than the margin sends requests itself, so
	// it receives less than that.
	receivers := c.receivers(d, others, demand, func(z ZoneLoad) float64 {
		without := max(0, float64(z.Running)-d.settled[z.Zone]*demand) / float64(z.Places)
		if float64(z.Running)/float64(z.Places) > demand/float64(usual)-minDifference {
			return 0
		}
		if stay-expectedDelay(z.Delay, base, without) <= c.pathDelay(z.Zone)+threshold {
			return 0
		}
		return min(fullUtilization, utilizationAt(least+margin*3/4-max(z.Delay, base), base))
	})
	if len(receivers) == 0 || demand <= 0 {
		return nil, 0
	}
	return receivers, neededShare(receivers, own, others, demand, float64(usual), func(measured time.Duration, utilization float64) time.Duration {
		return expectedDelay(measured, base, utilization)
	}, margin*3/4)
}

// neededShare returns the lowest share after which the own zone is slower than the receivers
// by at most the excess. It lies between the two thresholds, so that the share is stable.
func neededShare(receivers []receiver, own ZoneLoad, others []ZoneLoad, demand, usual float64, delay func(time.Duration, float64) time.Duration, excess time.Duration) float64 {
	running, places, measured := 0.0, 0.0, time.Duration(0)
	for _, r := range receivers {
		z := others[slices.IndexFunc(others, func(z ZoneLoad) bool { return z.Zone == r.zone })]
		running += max(0, float64(z.Running)-r.settled)
		places += float64(z.Places)
		measured = max(measured, z.Delay)
	}
	low, high := 0.0, maxShare
	for range 12 {
		share := (low + high) / 2
		stay := delay(own.Delay, (1-share)*demand/usual)
		if stay-delay(measured, (running+share*demand)/places) > excess {
			low = share
		} else {
			high = share
		}
	}
	return high
}

// baseDelay returns the delay of an idle zone, for which the lowest delay of any stands.
func baseDelay(own ZoneLoad, others []ZoneLoad) time.Duration {
	base := own.Delay
	for _, z := range others {
		if z.Delay > 0 && z.Age < newsTTL && (base == 0 || z.Delay < base) {
			base = z.Delay
		}
	}
	if target := cmp.Or(own.Target, defaultTarget); base == 0 || base > target {
		return target / 4
	}
	return base
}

// expectedDelay returns the delay at a utilization: what was measured, and what is to be
// expected as the places fill.
func expectedDelay(measured, base time.Duration, utilization float64) time.Duration {
	u := min(utilization, maxUtilization)
	return max(measured, base) + time.Duration(queueWeight*float64(base)*u/(1-u))
}

// utilizationAt returns the utilization whose queueing term of the expected delay is given.
func utilizationAt(queueing, base time.Duration) float64 {
	if queueing <= 0 {
		return 0
	}
	ratio := float64(queueing) / (queueWeight * float64(base))
	return ratio / (1 + ratio)
}

func (c *Core) isLocal(zone api.FailureDomain) bool { return c.o.Regions[zone] == c.o.Place.Region }

// pathDelay returns the cost of the path to a zone in latency, and in another region also
// the time on the link.
func (c *Core) pathDelay(zone api.FailureDomain) time.Duration {
	if c.isLocal(zone) {
		return zonePath
	}
	if c.o.RegionMbps <= 0 {
		return regionPath
	}
	transfer := requestBytes * 8 / (c.o.RegionMbps * regionLinkShare * 1e6)
	return regionPath + time.Duration(transfer*float64(time.Second))
}

// receivers returns the zones with news that have room up to the utilization that level
// returns.
func (c *Core) receivers(d *decision, others []ZoneLoad, demand float64, level func(ZoneLoad) float64) []receiver {
	var list []receiver
	for _, z := range others {
		if z.Age >= newsTTL {
			continue
		}
		limit := level(z)
		if limit <= 0 {
			continue
		}
		spare := limit*float64(z.Places) - float64(z.Running)
		if spare > 0 {
			spare *= spareShare
		}
		settled := d.settled[z.Zone] * demand
		if room := settled + spare; room > 0 {
			list = append(list, receiver{z.Zone, c.isLocal(z.Zone), room, settled})
		}
	}
	return list
}

// untilFull is the level of zones that receive what has to leave.
func untilFull(ZoneLoad) float64 { return fullUtilization }

// receiversWithoutOwn returns the zones for all requests of a zone without ready endpoints.
// Zones without news are used only if there is no news of any, those of the own region
// first.
func (c *Core) receiversWithoutOwn(d *decision, others []ZoneLoad, demand float64) []receiver {
	if list := c.receivers(d, others, demand, untilFull); len(list) > 0 {
		return list
	}
	var list []receiver
	for _, known := range []bool{true, false} {
		for _, local := range []bool{true, false} {
			for _, z := range others {
				if z.Age < newsTTL == known && c.isLocal(z.Zone) == local {
					list = append(list, receiver{z.Zone, local, float64(z.Places), 0})
				}
			}
			if len(list) > 0 {
				return list
			}
		}
	}
	return nil
}

// spread distributes a share of the requests over the receivers in proportion to their room,
// first over those of the own region. A zone without ready endpoints sends all its requests
// away, even beyond the room of the others.
func (c *Core) spread(share float64, receivers []receiver, demand float64, own ZoneLoad) map[api.FailureDomain]float64 {
	var room [2]float64 // of the own region and of others
	for _, r := range receivers {
		room[index(r.local)] += r.room
	}
	if share < minShare || room[0]+room[1] <= 0 {
		return nil
	}
	given := [2]float64{share, 0}
	if demand > 0 {
		given[0] = min(share, room[0]/demand)
		given[1] = min(share-given[0], room[1]/demand, c.regionCap(demand, own.Duration))
	}
	if room[0] == 0 {
		given[0] = 0
	}
	if left := share - given[0] - given[1]; own.Places <= 0 && left > 0 {
		if room[0] > 0 {
			given[0] += left
		} else {
			given[1] += left
		}
	}
	shares := make(map[api.FailureDomain]float64)
	for _, r := range receivers {
		if part := given[index(r.local)] * r.room / room[index(r.local)]; part > 0 {
			shares[r.zone] = part
		}
	}
	return shares
}

func index(local bool) int {
	if local {
		return 0
	}
	return 1
}

// regionCap returns the share of the demand that the part of the region link for overflow
// carries. Each zone of the region gets the same part.
func (c *Core) regionCap(demand float64, duration time.Duration) float64 {
	if c.o.RegionMbps <= 0 {
		return 1
	}
	zones := 0
	for _, region := range c.o.Regions {
		if region == c.o.Place.Region {
			zones++
		}
	}
	perSecond := c.o.RegionMbps * 1e6 * regionLinkShare / 8 / requestBytes / float64(max(zones, 1))
	return perSecond * cmp.Or(duration, settleTime).Seconds() / demand
}

// settle lets the part of the running requests in other zones follow the shares.
func (d *decision) settle(elapsed, duration time.Duration) {
	keep := math.Exp(-float64(elapsed) / float64(duration))
	for zone := range d.shares {
		d.settled[zone] += 0 // so that the zone is in the map
	}
	for zone, settled := range d.settled {
		settled = keep*settled + (1-keep)*d.shares[zone]
		if settled < minShare/10 && d.shares[zone] == 0 {
			delete(d.settled, zone)
			continue
		}
		d.settled[zone] = settled
	}
}

// usualPlaces returns the highest number of places within placesWindow.
func (d *decision) usualPlaces(now time.Duration, places int) int {
	d.places = slices.DeleteFunc(d.places, func(s placesSample) bool {
		return now-s.at > placesWindow || s.places <= places
	})
	d.places = append(d.places, placesSample{now, places})
	return d.places[0].places
}

func sum(shares map[api.FailureDomain]float64) float64 {
	total := 0.0
	for _, zone := range slices.Sorted(maps.Keys(shares)) {
		total += shares[zone] // in a fixed order, so that the rounding is the same
	}
	return total
}
