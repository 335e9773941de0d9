package world

import (
	"sync"
	"time"
)

// copyLife is how long a copy is kept after its last part.
const copyLife = 4 * time.Second

// Copies holds the copies of running generations by engine address. It stands
// for the memory of all engines.
type Copies struct {
	mu   sync.Mutex
	held map[string]map[string]runCopy // engine address -> run
}

// runCopy is the copy of one run.
type runCopy struct {
	tokens int
	at     time.Time // last part
}

// NewCopies returns an empty memory.
func NewCopies() *Copies { return &Copies{held: make(map[string]map[string]runCopy)} }

func (c *Copies) put(address, run string, tokens int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held[address] == nil {
		c.held[address] = make(map[string]runCopy)
	}
	c.held[address][run] = runCopy{tokens: tokens, at: time.Now()}
}

// take removes a copy and reports whether there was one.
func (c *Copies) take(address, run string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.held[address][run]
	delete(c.held[address], run)
	return ok
}

// tokens returns the memory that copies take at an engine.
func (c *Copies) tokens(address string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for run, one := range c.held[address] {
		if time.Since(one.at) > copyLife {
			delete(c.held[address], run)
			continue
		}
		total += one.tokens
	}
	return total
}

func (c *Copies) drop(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, address)
}
