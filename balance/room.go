package balance

import (
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
	// staleLoadTTL is how long the last report of an engine still bounds its memory after
	// it is too old for the choice between engines. A generation takes 5 s and more, so
	// most of the reported ones are still there.
	staleLoadTTL = 3 * time.Second
)

// bounded reports whether the request limits the generations or prefills of its engine.
func (r Request) bounded() bool { return r.MaxGenerations > 0 || r.MaxPrefills > 0 }

// exceedsRoom reports whether the endpoint already has as many generations or prefills as
// the request allows, or too little memory for its generations, backups and the request.
// An endpoint without a load report counts as having one generation more than is known.
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
	if request.MaxPrefills > 0 && load.Prefilling >= request.MaxPrefills {
		return true
	}
	capacity := c.kvCapacity[request.Service]
	return capacity > 0 && c.projectedTokens(now, e, request.Tokens)+request.Tokens > capacity
}

// projectedTokens returns the memory that the known generations and backups of an engine
// take once they have prefilled their prompts, if each takes perGeneration tokens. A
// report counts only memory in use, which a prompt that waits does not take yet.
func (c *Core) projectedTokens(now time.Duration, e *endpoint, perGeneration int) int {
	if now-e.reportedAt >= staleLoadTTL {
		return max(e.tokens, int(c.memoryUse[e.Service]*float64(c.kvCapacity[e.Service])))
	}
	return e.tokens + max(e.otherLoad.Tokens, e.otherLoad.Running*perGeneration)
}

// backupUseBound returns the average use of the engines' memory above which no backups
// are made.
func (c *Core) backupUseBound() float64 {
	if c.options.LoadControl {
		return maxMemoryUseForBackupBounded
	}
	return maxMemoryUseForBackup
}

// exceedsBackupRoom reports whether a backup would take the engine above
// maxBackupMemoryUse.
func (c *Core) exceedsBackupRoom(now time.Duration, e *endpoint, request Request) bool {
	capacity := c.kvCapacity[request.Service]
	if !c.options.LoadControl || capacity == 0 {
		return false
	}
	return float64(c.projectedTokens(now, e, request.Tokens)+request.Tokens) > maxBackupMemoryUse*float64(capacity)
}

// WithRoom returns the endpoints that have room for the request by a recent load report.
func (c *Core) WithRoom(now time.Duration, request Request) []api.EndpointID {
	var ids []api.EndpointID
	for _, e := range c.byService[request.Service] {
		if _, reported := e.load(now); !reported || e.Draining || e.blocks(now, request) || now < e.suspectUntil {
			continue
		}
		if !c.exceedsCapacity(now, e, request) && !c.exceedsMaxDelay(now, e, request) && !c.exceedsRoom(now, e, request) {
			ids = append(ids, e.ID)
		}
	}
	return ids
}

// WithRoom returns the endpoints that have room for the request by a recent load report.
func (b *Balancer) WithRoom(request Request) []api.EndpointID {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.core.WithRoom(b.options.Clock(), request)
}
