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
	seq uint64 // orders timerHeap with the same time
	run func()
}

// timerHeap is a heap of timers, ordered by time.
type timerHeap []timer

func (t timerHeap) Len() int { return len(t) }
func (t timerHeap) Less(i, j int) bool {
	return t[i].at < t[j].at || t[i].at == t[j].at && t[i].seq < t[j].seq
}
func (t timerHeap) Swap(i, j int) { t[i], t[j] = t[j], t[i] }
func (t *timerHeap) Push(x any)   { *t = append(*t, x.(timer)) }
func (t *timerHeap) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// clock is a simulated clock that runs timers in order of their time.
type clock struct {
	now   time.Duration
	seq   uint64
	queue timerHeap
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
