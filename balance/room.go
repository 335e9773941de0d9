package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// maxMemoryUseForBackupBounded replaces maxMemoryUseForBackup under load control: the
	// limits of new generations then keep memory free for backups.
	maxMemoryUseForBackupBounded = 0.9
	// maxBackupMemoryUse is the share of an engine's memory that a backup may fill under
	// load control. The rest covers generations that other instances place meanwhile.
	maxBackupMemoryUse = 0.95
	// pendingBackupFactor times the average number of prefills of an engine is the number
	// of backups that are expected to come to it. Instances choose independently, so some
	// engines get more than the average.
	pendingBackupFactor = 1.75
	// loadWeight is the weight of one report in the average load of an engine. A burst
	// changes it within a few seconds.
	loadWeight = 0.25
	// maxBackupTries is the number of engines that one generation considers for its backup.
	maxBackupTries = 6
	// generationTokensWeight is the weight of one generation in their average size.
	generationTokensWeight = 0.05
	// recentReportTTL is how long a load report is as good as a new query. All instances
	// with a request that waits see the same room, so older reports lead several of them
	// to one engine.
	recentReportTTL = 150 * time.Millisecond
	// backupReportTTL is how long a load report shows whether an engine has room for a
	// backup. Backups and generations come to an engine about once a second each.
	backupReportTTL = time.Second
)

// bounded reports whether the request limits the generations or prefills of its engine.
func (r Request) bounded() bool { return r.MaxGenerations > 0 || r.MaxPrefills > 0 }

// exceedsRoom reports whether the endpoint already has as many generations or prefills as
// the request allows. An endpoint without a load report counts as having one generation more than is known.
func (c *Core) exceedsRoom(now time.Duration, e *endpoint, request Request) bool {
	if request.Tokens == 0 || !request.bounded() {
		return false
	}
	load, reported := e.load(now)
	if !reported {
		load.Running++
	}
	if request.MaxGenerations > 0 && load.Running >= request.MaxGenerations {
		return true
	}
	return request.MaxPrefills > 0 && load.Prefilling >= request.MaxPrefills
}

// knownTokens returns the memory in use at an endpoint as far as it is known, under load
// control with that of generations that wait.
func (c *Core) knownTokens(now time.Duration, e *endpoint) int {
	load, reported := e.load(now)
	if reported && c.options.LoadControl {
		return c.projectedTokens(e)
	}
	return load.Tokens
}

// projectedTokens returns the memory that the generations and backups of an engine take by
// its last report once all of them run. A report counts only memory in use, which a
// generation that waits does not take yet.
func (c *Core) projectedTokens(e *endpoint) int {
	return e.tokens + max(e.otherLoad.Tokens, int(float64(e.otherLoad.Running)*c.generationTokens[e.Service]))
}

// recordGeneration updates the average memory of a generation.
func (c *Core) recordGeneration(request Request) {
	average := c.generationTokens[request.Service]
	if average == 0 {
		average = float64(request.Tokens)
	}
	c.generationTokens[request.Service] = average + generationTokensWeight*(float64(request.Tokens)-average)
}

// backupUseBound returns the average use of the engines' memory above which no backups
// are made.
func (c *Core) backupUseBound() float64 {
	if c.options.LoadControl {
		return maxMemoryUseForBackupBounded
	}
	return maxMemoryUseForBackup
}

// chooseBoundedBackup returns the engine for a backup under load control, or nil if there
// is none. It considers only engines with a recent report, if there are any, and of these
// maxBackupTries that depend on the session, not on the load: reports show a backup only
// after the prefill, so otherwise all instances would choose the few engines that had room
// some seconds ago.
func (c *Core) chooseBoundedBackup(now time.Duration, possible []*endpoint, request Request) *endpoint {
	if c.HasReports(now, request.Service) {
		possible = slices.DeleteFunc(possible, func(e *endpoint) bool { return now-e.reportedAt >= backupReportTTL })
	}
	slices.SortFunc(possible, func(a, b *endpoint) int {
		return cmp.Compare(c.boundedBackupCost(a, request), c.boundedBackupCost(b, request))
	})
	for _, e := range possible[:min(maxBackupTries, len(possible))] {
		if !c.exceedsCapacity(now, e, request) && !c.exceedsBackupRoom(e, request) {
			return e
		}
	}
	return nil
}

// boundedBackupCost is the cost of an engine for a backup without its load.
func (c *Core) boundedBackupCost(e *endpoint, request Request) float64 {
	return c.localityCost(e.Domain) + errorRateCost*e.errorRate + backupCost*float64(e.backups) + maxAffinityCost*e.affinityDistance(request.sessionHash)
}

// exceedsBackupRoom reports whether an engine has too little memory for a further backup:
// it keeps room for one generation more than an engine has on average, and for the backups
// of generations that are prefilled now, which reports do not show yet.
func (c *Core) exceedsBackupRoom(e *endpoint, request Request) bool {
	capacity := c.kvCapacity[request.Service]
	if capacity == 0 {
		return false
	}
	running := float64(e.running + e.otherLoad.Running)
	reserved := max(0, c.running[e.Service]+1-running) * c.generationTokens[e.Service]
	coming := pendingBackupFactor * c.prefilling[e.Service] * c.generationTokens[e.Service]
	projected := float64(c.projectedTokens(e)+request.Tokens) + reserved + coming
	return projected > maxBackupMemoryUse*float64(capacity)
}

// WithRoom returns the endpoints that have room for the request by a recent load report.
func (c *Core) WithRoom(now time.Duration, request Request) []api.EndpointID {
	var ids []api.EndpointID
	request = c.resolveVersions(now, request)
	for _, e := range c.byService[request.Service] {
		if now-e.reportedAt >= recentReportTTL || e.Draining || !e.admits(request) || e.blocks(now, request) || now < e.suspectUntil {
			continue
		}
		if !c.exceedsCapacity(now, e, request) && !c.exceedsMaxDelay(now, e, request) && !c.exceedsRoom(now, e, request) {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// HasReports reports whether an endpoint of the service has reported its load recently.
func (c *Core) HasReports(now time.Duration, service string) bool {
	at, ok := c.reportedAt[service]
	return ok && now-at < backupReportTTL
}

// HasReports reports whether an endpoint of the service has reported its load recently.
func (b *Balancer) HasReports(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.HasReports(b.options.Clock(), service)
}

// WithRoom returns the endpoints that have room for the request by a recent load report.
func (b *Balancer) WithRoom(request Request) []api.EndpointID {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.WithRoom(b.options.Clock(), request)
}
