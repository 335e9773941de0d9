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
	updatedAt time.Time
}

// NewBackups returns a Backups without content.
func NewBackups() *Backups { return &Backups{byEngine: make(map[string]map[string]backup)} }

func (b *Backups) put(address, attemptID string, tokens int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.byEngine[address] == nil {
		b.byEngine[address] = make(map[string]backup)
	}
	b.byEngine[address][attemptID] = backup{tokens: tokens, updatedAt: time.Now()}
}

// remove deletes a backup and reports whether it existed.
func (b *Backups) remove(address, attemptID string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, ok := b.byEngine[address][attemptID]
	delete(b.byEngine[address], attemptID)
	return ok
}

// usedTokens returns the memory that backups use at an engine, in tokens. It
// deletes expired backups.
func (b *Backups) usedTokens(address string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	total := 0
	for attemptID, kept := range b.byEngine[address] {
		if time.Since(kept.updatedAt) > backupTTL {
			delete(b.byEngine[address], attemptID)
			continue
		}
		total += kept.tokens
	}
	return total
}

func (b *Backups) removeEngine(address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.byEngine, address)
}
