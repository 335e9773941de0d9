package overflow

import (
	"context"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

const (
	// updateInterval is the time between two decisions.
	updateInterval = 250 * time.Millisecond
	// concurrencyTime is the time constant of the average number of requests that this
	// instance has running in its zone.
	concurrencyTime = 2 * time.Second
	// demandTime is the time constant of the average demand of the own zone. The few reports
	// that its instances get in a second differ by a third.
	demandTime = time.Second
	// loggedChange is the change of a share that is logged.
	loggedChange = 0.1
)

// Balancer knows the load of the endpoints and applies the shares.
type Balancer interface {
	ZoneLoads() []balance.ZoneLoad
	SetZoneShares(service string, shares map[api.FailureDomain]float64, utilization float64)
}

// RunnerOptions configures a Runner.
type RunnerOptions struct {
	Options
	Self    api.InstanceID
	Balance Balancer
	// Target returns the latency target of a service; 0 is unknown.
	Target func(service string) time.Duration
	// Waiting returns the number of requests of a service that wait at this instance for an
	// endpoint; nil: none wait.
	Waiting func(service string) int
	// ZoneInstances returns the number of live instances in the own zone, with this one.
	ZoneInstances func() int
	// WallMS returns the wall clock in Unix milliseconds.
	WallMS func() uint64
	Clock  bootclock.Func
	Log    *slog.Logger
	Scope  tally.Scope
}

// Runner updates the decisions from the loads that the balancer and other instances know, and
// passes them to the balancer. It is a delta source of the fleet component.
type Runner struct {
	o    RunnerOptions
	mu   sync.Mutex
	core *Core
	news *News
	// concurrency is the average number of own requests in the own zone, by service.
	concurrency map[string]float64
	// demand is the average demand of the own zone, by service.
	demand map[string]float64
	stepAt time.Duration
	logged map[string]map[api.FailureDomain]float64 // shares as last logged, by service
}

// NewRunner returns a runner that sends no requests away.
func NewRunner(o RunnerOptions) *Runner {
	r := &Runner{
		o: o, core: NewCore(o.Options), news: NewNews(o.Self, o.Place.FailureDomain),
		concurrency: make(map[string]float64), demand: make(map[string]float64), logged: make(map[string]map[api.FailureDomain]float64),
	}
	for _, change := range []string{"started", "changed", "stopped"} {
		o.Scope.Tagged(map[string]string{"change": change}).Counter("decisions").Inc(0)
	}
	return r
}

// SetRegions sets the region of each zone.
func (r *Runner) SetRegions(regions map[api.FailureDomain]api.Region) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.SetRegions(regions)
}

// Run updates the decisions until the context ends.
func (r *Runner) Run(ctx context.Context) error {
	ticker := time.NewTicker(updateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.Update()
		}
	}
}

// Update decides once.
func (r *Runner) Update() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.o.Clock()
	loads := r.o.Balance.ZoneLoads()
	elapsed := now - r.stepAt
	r.stepAt = now
	var zones []ZoneLoad
	for _, load := range loads {
		zone := ZoneLoad{
			Service: load.Service, Zone: load.Zone, Places: load.Places, Duration: load.Duration, Target: r.o.Target(load.Service),
		}
		news := r.news.Zone(now, load.Service, load.Zone)
		zone.Running, zone.Delay, zone.Age = int(news.Running+0.5), news.Delay, news.Age
		if load.Zone == r.o.Place.FailureDomain {
			r.addOwn(now, elapsed, load, news, &zone)
		}
		zones = append(zones, zone)
	}
	r.news.Expire(now)
	r.core.Update(now, zones)
	utilization := make(map[string]float64)
	for _, zone := range zones {
		if zone.Zone == r.o.Place.FailureDomain && zone.Places > 0 {
			utilization[zone.Service] = float64(zone.Running) / float64(zone.Places)
		}
	}
	seen := make(map[string]bool)
	for _, zone := range zones {
		if !seen[zone.Service] {
			seen[zone.Service] = true
			r.apply(zone.Service, utilization[zone.Service])
		}
		if zone.Places > 0 && zone.Age < newsTTL {
			r.scope(zone.Service, zone.Zone).Gauge("utilization").Update(float64(zone.Running) / float64(zone.Places))
		}
	}
}

// addOwn fills in the load of the own zone, and reports it to other instances. It is the
// average of what this instance and the others of the zone see.
func (r *Runner) addOwn(now, elapsed time.Duration, load balance.ZoneLoad, news ZoneNews, zone *ZoneLoad) {
	keep := math.Exp(-float64(elapsed) / float64(concurrencyTime))
	concurrency := keep*r.concurrency[load.Service] + (1-keep)*float64(load.OwnRunning)
	r.concurrency[load.Service] = concurrency
	demand, count := news.Running*float64(news.Instances), float64(news.Instances)
	running := max(load.Running, concurrency)
	if !load.Reported {
		// Endpoints that report no load are estimated from the requests of this instance;
		// callers are spread evenly over the instances of a zone.
		running = concurrency * float64(r.o.ZoneInstances())
	}
	if load.Reported || !load.ReportsLoad || news.Instances == 0 {
		own := r.core.Demand(load.Service, running) + r.waiting(load.Service)
		demand, count = demand+own, count+1
		if own > 0.5 || r.news.HasDemand(now, load.Service) {
			r.news.SetOwn(now, r.o.WallMS(), load.Service, own, load.Delay)
		}
	}
	// The core derives the demand from what runs in the zone.
	keep = math.Exp(-float64(elapsed) / float64(demandTime))
	r.demand[load.Service] = keep*r.demand[load.Service] + (1-keep)*demand/count
	zone.Running = int(r.demand[load.Service]/r.core.Demand(load.Service, 1) + 0.5)
	zone.Age = 0
	switch {
	case load.Delay > 0 && news.Delay > 0:
		zone.Delay = (load.Delay + time.Duration(news.Instances)*news.Delay) / time.Duration(news.Instances+1)
	case load.Delay > 0:
		zone.Delay = load.Delay
	}
}

// waiting returns the number of requests that wait at the instances of the zone. Callers are
// spread evenly over them.
func (r *Runner) waiting(service string) float64 {
	if r.o.Waiting == nil {
		return 0
	}
	return float64(r.o.Waiting(service) * r.o.ZoneInstances())
}

// apply passes the shares of a service to the balancer and records a change.
func (r *Runner) apply(service string, utilization float64) {
	shares := r.core.Shares(service)
	r.o.Balance.SetZoneShares(service, shares, utilization)
	for zone, share := range shares {
		r.scope(service, zone).Gauge("share").Update(share)
	}
	before := r.logged[service]
	if !changed(before, shares) {
		return
	}
	for zone := range before {
		if _, ok := shares[zone]; !ok {
			r.scope(service, zone).Gauge("share").Update(0)
		}
	}
	change := "changed"
	switch {
	case len(before) == 0:
		change = "started"
	case len(shares) == 0:
		change = "stopped"
	}
	r.o.Scope.Tagged(map[string]string{"change": change}).Counter("decisions").Inc(1)
	r.o.Log.Info("zone overflow changed", "service", service, "change", change, "shares", rounded(shares), "before", rounded(before))
	r.logged[service] = shares
}

// rounded returns shares with two decimals, for the log.
func rounded(shares map[api.FailureDomain]float64) map[api.FailureDomain]float64 {
	result := make(map[api.FailureDomain]float64, len(shares))
	for zone, share := range shares {
		result[zone] = math.Round(share*100) / 100
	}
	return result
}

// changed reports whether a zone gets requests that got none, or none any more, or whether a
// share differs by loggedChange.
func changed(before, after map[api.FailureDomain]float64) bool {
	if len(before) != len(after) {
		return true
	}
	for zone, share := range after {
		if known, ok := before[zone]; !ok || math.Abs(share-known) >= loggedChange {
			return true
		}
	}
	return false
}

func (r *Runner) scope(service string, zone api.FailureDomain) tally.Scope {
	return r.o.Scope.Tagged(map[string]string{"service": service, "zone": string(zone)})
}

// Collect returns news of the zones for another instance, at most maxBytes.
func (r *Runner) Collect(maxBytes int) *peerpb.Deltas {
	r.mu.Lock()
	defer r.mu.Unlock()
	deltas := r.news.Collect(r.o.Clock(), maxBytes)
	r.o.Scope.Counter("news_sent").Inc(int64(len(deltas.GetZoneUsage())))
	return deltas
}

// Merge adds the news of another instance.
func (r *Runner) Merge(deltas *peerpb.Deltas) {
	received := len(deltas.GetZoneUsage())
	if received == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	added := r.news.Merge(r.o.Clock(), deltas)
	r.o.Scope.Counter("news_received").Inc(int64(added))
	r.o.Scope.Counter("news_outdated").Inc(int64(received - added))
}
