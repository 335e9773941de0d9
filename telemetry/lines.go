package telemetry

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/ring"
)

const (
	// lineRing is the number of lines that wait for the writer.
	lineRing = 1024
	// lineBytesPerSecond bounds the volume of the log.
	lineBytesPerSecond = 512 << 10
	// closeWait bounds the wait for a stalled reader at the end.
	closeWait = 200 * time.Millisecond
)

// LineWriter passes log lines to one writing goroutine, so that a slow reader
// never blocks a request. Lines beyond the ring or the rate are dropped and
// counted; a line that says how many follows.
type LineWriter struct {
	out     io.Writer
	lines   *ring.Queue[[]byte]
	dropped atomic.Int64
	counter atomic.Value // tally.Counter

	mu      sync.Mutex
	credit  float64
	refill  time.Time
	stopped chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewLineWriter returns a writer in front of out.
func NewLineWriter(out io.Writer) *LineWriter {
	w := &LineWriter{
		out: out, lines: ring.New[[]byte](lineRing), credit: lineBytesPerSecond, refill: time.Now(),
		stopped: make(chan struct{}), done: make(chan struct{}),
	}
	go w.run()
	return w
}

// SetDropCounter sets the counter of dropped lines.
func (w *LineWriter) SetDropCounter(c tally.Counter) { w.counter.Store(c) }

// Write takes one line. It never blocks and never fails.
func (w *LineWriter) Write(line []byte) (int, error) {
	if !w.allow(len(line)) || !w.lines.TryPut(append([]byte(nil), line...)) {
		w.dropped.Add(1)
		if c, ok := w.counter.Load().(tally.Counter); ok {
			c.Inc(1)
		}
	}
	return len(line), nil
}

func (w *LineWriter) allow(size int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.credit = min(lineBytesPerSecond, w.credit+now.Sub(w.refill).Seconds()*lineBytesPerSecond)
	w.refill = now
	if w.credit < float64(size) {
		return false
	}
	w.credit -= float64(size)
	return true
}

func (w *LineWriter) run() {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines.C():
			w.write(line)
		case <-w.stopped:
			for {
				select {
				case line := <-w.lines.C():
					w.write(line)
				default:
					return
				}
			}
		}
	}
}

// write passes one line on. Nobody reads the log if standard output is closed,
// so an error has no place to go.
func (w *LineWriter) write(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = w.out.Write(droppedLine(n))
	}
	_, _ = w.out.Write(line)
}

// Close writes the lines that wait, as far as the reader takes them.
func (w *LineWriter) Close() {
	w.once.Do(func() { close(w.stopped) })
	select {
	case <-w.done:
	case <-time.After(closeWait):
	}
}
