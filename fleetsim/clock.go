package fleetsim

import (
	"container/heap"
	"time"
)

// startTime is the boot clock time at the start of a simulation. It exceeds all
// timeouts of the cores, so that none of them depends on the clock starting at
// zero.
const startTime = time.Hour

// timer is a function that runs at a simulated time.
type timer struct {
	at  time.Duration
	seq uint64 // orders timers with the same time
	run func()
}

// timers is a heap of timers, ordered by time.
type timers []timer

func (t timers) Len() int { return len(t) }
func (t timers) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// clock is a simulated clock that runs timers in order of their time.
type clock struct {
	now   time.Duration
	seq   uint64
	queue timers
}

// after runs a function once the given time has passed.
func (c *clock) after(d time.Duration, run func()) {
	c.seq++
	heap.Push(&c.queue, timer{at: c.now + d, seq: c.seq, run: run})
}

// runUntil runs all timers up to the given time and sets the clock to it.
func (c *clock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(timer)
		c.now = next.at
		next.run()
	}
	c.now = end
}
