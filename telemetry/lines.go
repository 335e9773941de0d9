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
	// queueCapacityLines is the number of lines that can wait for the output.
	queueCapacityLines = 1024
	// maxBytesPerSecond limits the volume of the log. It is the rate and the burst
	// size of a token bucket.
	maxBytesPerSecond = 512 << 10
	// closeTimeout is how long Close waits for an output that blocks.
	closeTimeout = 200 * time.Millisecond
)

// LineWriter writes log lines from a goroutine of its own, so that an output that
// blocks never delays a request. Lines that exceed the queue or the rate are
// dropped and counted; a notice with their number precedes the next line that is
// written.
type LineWriter struct {
	out         io.Writer
	queue       *ring.Queue[[]byte]
	dropped     atomic.Int64 // since the last notice
	dropCounter atomic.Value // tally.Counter

	mu             sync.Mutex
	availableBytes float64
	refilledAt     time.Time
	stop           chan struct{}
	done           chan struct{}
	stopOnce       sync.Once
}

// NewLineWriter returns a LineWriter that writes to out.
func NewLineWriter(out io.Writer) *LineWriter {
	w := &LineWriter{
		out: out, queue: ring.New[[]byte](queueCapacityLines), availableBytes: maxBytesPerSecond, refilledAt: time.Now(),
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go w.writeQueued()
	return w
}

// SetDropCounter sets the metric that counts dropped lines.
func (w *LineWriter) SetDropCounter(c tally.Counter) { w.dropCounter.Store(c) }

// Write queues one line. It never blocks and returns no error.
func (w *LineWriter) Write(line []byte) (int, error) {
	if !w.takeBytes(len(line)) || !w.queue.TryPut(append([]byte(nil), line...)) {
		w.dropped.Add(1)
		if c, ok := w.dropCounter.Load().(tally.Counter); ok {
			c.Inc(1)
		}
	}
	return len(line), nil
}

// takeBytes reports whether the rate allows a line of the given size, and deducts
// it from the bytes that are available.
func (w *LineWriter) takeBytes(size int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.availableBytes = min(maxBytesPerSecond, w.availableBytes+now.Sub(w.refilledAt).Seconds()*maxBytesPerSecond)
	w.refilledAt = now
	if w.availableBytes < float64(size) {
		return false
	}
	w.availableBytes -= float64(size)
	return true
}

// writeQueued writes queued lines until Close, and then those that are still queued.
func (w *LineWriter) writeQueued() {
	defer close(w.done)
	for {
		select {
		case line := <-w.queue.C():
			w.writeLine(line)
		case <-w.stop:
			for {
				select {
				case line := <-w.queue.C():
					w.writeLine(line)
				default:
					return
				}
			}
		}
	}
}

// writeLine writes one line, after a notice if lines were dropped. Errors are
// ignored: without an output there is no place to report them.
func (w *LineWriter) writeLine(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = w.out.Write(formatDroppedNotice(n))
	}
	_, _ = w.out.Write(line)
}

// Close writes the lines that are still queued, as far as the output accepts them
// within closeTimeout.
func (w *LineWriter) Close() {
	w.stopOnce.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
