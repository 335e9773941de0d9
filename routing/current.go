package routing

import (
	"sync"
	"sync/atomic"
)

// CurrentTable holds the table in force. It never goes back to an older version.
type CurrentTable struct {
	mu    sync.Mutex
	table atomic.Pointer[Table]
}

// Load returns the table in force, or nil before the first one.
func (c *CurrentTable) Load() *Table { return c.table.Load() }

// Version returns the version in force, or 0.
func (c *CurrentTable) Version() uint64 {
	if t := c.table.Load(); t != nil {
		return t.Version
	}
	return 0
}

// Apply puts a table into force and reports whether it is newer than the one
// before.
func (c *CurrentTable) Apply(t *Table) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now := c.table.Load(); now != nil && now.Version >= t.Version {
		return false
	}
	c.table.Store(t)
	return true
}
