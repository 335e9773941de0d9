package overflow

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

const (
	// refreshInterval is how often unchanged news is sent again, and changeInterval how often
	// changed news is. It has to be refreshed before it expires at others.
	refreshInterval = time.Second
	changeInterval  = 500 * time.Millisecond
	// minChange is the relative change that counts as changed news.
	minChange = 0.25
	// maxNewsBytes bounds the news in one message. All delta sources together have 200 bytes;
	// an entry takes about 35.
	maxNewsBytes = 112
	// ownSends and forwardedSends are the messages that carry news of this instance and of
	// others. An instance exchanges about eight messages a second each way, with few partners
	// that stay the same, so that news has to be passed on.
	ownSends       = 8
	forwardedSends = 4
	// forwardedAge is the age below which news is passed on.
	forwardedAge = 2 * time.Second
	// versionTTL is how long the version of expired news is kept, so that a late copy does
	// not count as new.
	versionTTL = 30 * time.Second
)

// newsKey identifies the news of one instance of a service's load in its zone.
type newsKey struct {
	service  uint64
	zone     api.FailureDomain
	instance api.InstanceID
}

// newsItem is the load of a zone as one of its instances sees it.
type newsItem struct {
	running uint32
	delayMS uint32
	version uint64
	at      time.Duration // arrival
	// offset is the least difference of arrival and version of the instance's news: the
	// difference of the clocks, and the shortest way that news has come.
	offset    time.Duration
	sendsLeft int
}

func versionTime(version uint64) time.Duration {
	return time.Duration(version) * time.Millisecond
}

// age returns how long ago an instance sent its news. The clocks of the instances may differ,
// so it is measured against the least offset of the instance, or that of the nearest instances
// if it is less: all news of a distant one may have come by long ways.
func (n *News) age(now time.Duration, i *newsItem) time.Duration {
	return now - versionTime(i.version) - min(i.offset, n.nearOffset)
}

// updateNearOffset sets the lower quartile of the offsets, which a few wrong clocks don't move.
func (n *News) updateNearOffset() {
	offsets := make([]time.Duration, 0, len(n.items))
	for key, item := range n.items {
		if key.instance != n.self {
			offsets = append(offsets, item.offset)
		}
	}
	n.nearOffset = math.MaxInt64
	if len(offsets) > 0 {
		slices.Sort(offsets)
		n.nearOffset = offsets[len(offsets)/4]
	}
}

// News is what the instances know of the load of the zones. Each instance reports the load of
// its own zone; the averages of what they report are used. It has no I/O and no clock, and is
// not safe for concurrent use.
type News struct {
	self  api.InstanceID
	zone  api.FailureDomain
	items map[newsKey]*newsItem
	// nearOffset is the offset of the instances whose news comes by short ways.
	nearOffset time.Duration
}

// NewNews returns the news of an instance that knows none.
func NewNews(self api.InstanceID, zone api.FailureDomain) *News {
	return &News{self: self, zone: zone, items: make(map[newsKey]*newsItem), nearOffset: math.MaxInt64}
}

// ServiceHash identifies a service in the news.
func ServiceHash(service string) uint64 { return xxhash.Sum64String(service) }

// SetOwn sets the load of the own zone as this instance sees it. wallMS is the wall clock in
// Unix milliseconds.
func (n *News) SetOwn(now time.Duration, wallMS uint64, service string, running float64, delay time.Duration) {
	key := newsKey{ServiceHash(service), n.zone, n.self}
	next := newsItem{running: uint32(max(running, 0) + 0.5), delayMS: uint32(max(delay, 0).Milliseconds()), version: wallMS, at: now, sendsLeft: ownSends}
	next.offset = now - versionTime(wallMS)
	if known, ok := n.items[key]; ok {
		age := now - known.at
		if age < changeInterval || age < refreshInterval && !known.differsFrom(next) {
			return
		}
		next.version = max(next.version, known.version+1)
	}
	n.items[key] = &next
}

func (i newsItem) differsFrom(other newsItem) bool {
	return differ(i.running, other.running) || differ(i.delayMS, other.delayMS)
}

func differ(a, b uint32) bool {
	low, high := min(a, b), max(a, b)
	return float64(high-low) > 1+minChange*float64(low)
}

// HasDemand reports whether there is news of running requests of a service.
func (n *News) HasDemand(now time.Duration, service string) bool {
	hash := ServiceHash(service)
	for key, item := range n.items {
		if key.service == hash && item.running > 0 && n.age(now, item) < newsTTL {
			return true
		}
	}
	return false
}

// ZoneNews is the average of the news of a zone.
type ZoneNews struct {
	Running   float64
	Delay     time.Duration // 0 is unknown
	Age       time.Duration // of the newest; newsTTL if there is none
	Instances int           // number of instances that the average is of
}

// Zone returns the average of what other instances report of a zone.
func (n *News) Zone(now time.Duration, service string, zone api.FailureDomain) ZoneNews {
	hash := ServiceHash(service)
	result := ZoneNews{Age: newsTTL}
	running, delayMS, delays := 0.0, 0.0, 0
	for key, item := range n.items {
		age := n.age(now, item)
		if key.service != hash || key.zone != zone || key.instance == n.self || age >= newsTTL {
			continue
		}
		result.Instances++
		result.Age = min(result.Age, age)
		running += float64(item.running)
		if item.delayMS > 0 {
			delayMS += float64(item.delayMS)
			delays++
		}
	}
	if result.Instances > 0 {
		result.Running = running / float64(result.Instances)
	}
	if delays > 0 {
		result.Delay = time.Duration(delayMS / float64(delays) * float64(time.Millisecond))
	}
	return result
}

// Collect returns news for another instance, at most maxBytes, and counts it as sent: first
// the own, then the newest of each zone.
func (n *News) Collect(now time.Duration, maxBytes int) *peerpb.Deltas {
	deltas := &peerpb.Deltas{}
	left := peer.ByteBudget(min(maxBytes, maxNewsBytes))
	for _, key := range n.unsent(now) {
		item := n.items[key]
		message := &peerpb.ZoneUsage{
			Instance: string(key.instance), Service: key.service, FailureDomain: string(key.zone),
			Running: item.running, DelayMs: item.delayMS, Version: item.version,
		}
		if !left.Take(message) {
			break
		}
		item.sendsLeft--
		deltas.ZoneUsage = append(deltas.ZoneUsage, message)
	}
	return deltas
}

// unsent returns the news to send: of the own instance, and the newest of each service and
// zone. The order is by own news first, then by the number of sends.
func (n *News) unsent(now time.Duration) []newsKey {
	type zoneKey struct {
		service uint64
		zone    api.FailureDomain
	}
	newest := make(map[zoneKey]newsKey)
	var list []newsKey
	for key, item := range n.items {
		if key.instance == n.self {
			if item.sendsLeft > 0 {
				list = append(list, key)
			}
			continue
		}
		if n.age(now, item) >= forwardedAge || item.sendsLeft <= 0 {
			continue
		}
		zone := zoneKey{key.service, key.zone}
		if known, ok := newest[zone]; !ok || n.items[known].version < item.version ||
			n.items[known].version == item.version && key.instance < known.instance {
			newest[zone] = key
		}
	}
	list = append(list, slices.Collect(maps.Values(newest))...)
	slices.SortFunc(list, func(a, b newsKey) int {
		if own := boolRank(a.instance != n.self) - boolRank(b.instance != n.self); own != 0 {
			return own
		}
		x, y := n.items[a], n.items[b]
		return cmp.Or(cmp.Compare(y.sendsLeft, x.sendsLeft), cmp.Compare(y.version, x.version),
			cmp.Compare(a.zone, b.zone), cmp.Compare(a.service, b.service), cmp.Compare(a.instance, b.instance))
	})
	return list
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Merge adds the news of other instances and returns how many were new.
func (n *News) Merge(now time.Duration, deltas *peerpb.Deltas) int {
	added := 0
	for _, m := range deltas.GetZoneUsage() {
		key := newsKey{m.GetService(), api.FailureDomain(m.GetFailureDomain()), api.InstanceID(m.GetInstance())}
		if key.instance == n.self || key.instance == "" || key.zone == "" {
			continue
		}
		offset := now - versionTime(m.GetVersion())
		if known, ok := n.items[key]; ok {
			if known.version >= m.GetVersion() {
				continue
			}
			offset = min(offset, known.offset)
		}
		added++
		n.items[key] = &newsItem{
			running: m.GetRunning(), delayMS: m.GetDelayMs(), version: m.GetVersion(), at: now, offset: offset, sendsLeft: forwardedSends,
		}
	}
	return added
}

// Expire forgets news that is long out of date. It has to be called regularly.
func (n *News) Expire(now time.Duration) {
	maps.DeleteFunc(n.items, func(_ newsKey, item *newsItem) bool { return now-item.at >= versionTTL })
	n.updateNearOffset()
}
