package routing

import (
	"sync"
	"sync/atomic"
)

// CurrentTable holds the active table. It never goes back to an older version.
type CurrentTable struct {
	mu    sync.Mutex
	table atomic.Pointer[Table]
}

// Load returns the active table, or nil if there is none yet.
func (c *CurrentTable) Load() *Table { return c.table.Load() }

// Version returns the version of the active table, or 0 if there is none yet.
func (c *CurrentTable) Version() uint64 {
	if t := c.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Apply activates a table if it is newer than the active one, and reports whether
// it did.
func (c *CurrentTable) Apply(t *Table) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if active := c.table.Load(); active != nil && active.Version >= t.Version {
		return false
	}
	c.table.Store(t)
	return true
}
