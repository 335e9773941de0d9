package world

import (
	"sync"
	"time"
)

// backupTTL is how long an engine keeps a backup after its last update.
const backupTTL = 4 * time.Second

// Backups holds the backups of running generations that engines keep for each
// other. It stands in for the memory of all engines.
type Backups struct {
	mu       sync.Mutex
	byEngine map[string]map[string]backup // engine address -> attempt ID
}

// backup is the state of one generation kept at another engine.
type backup struct {
	tokens    int
	updatedAt time.Time // time of the last update
}

// NewBackups returns a Backups without content.
func NewBackups() *Backups { return &Backups{byEngine: make(map[string]map[string]backup)} }

func (c *Backups) store(address, run string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byEngine[address] == nil {
		c.byEngine[address] = make(map[string]backup)
	}
	c.byEngine[address][run] = backup{tokens: tokens, updatedAt: time.Now()}
}

// remove deletes a backup and reports whether it existed.
func (c *Backups) remove(address, run string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.byEngine[address][run]
	delete(c.byEngine[address], run)
	return ok
}

// usedTokens returns the memory that backups use at an engine, in tokens. It
// deletes expired backups.
func (c *Backups) usedTokens(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for run, kept := range c.byEngine[address] {
		if time.Since(kept.updatedAt) > backupTTL {
			delete(c.byEngine[address], run)
			continue
		}
		total += kept.tokens
	}
	return total
}

func (c *Backups) removeEngine(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.byEngine, address)
}
