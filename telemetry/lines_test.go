package telemetry_test

import (
	"bytes"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/telemetry"
)

// stallingWriter blocks every write until release is closed.
type stallingWriter struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (s *stallingWriter) Write(line []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(line)
}

func (s *stallingWriter) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.String()
}

var _ = Describe("LineWriter", func() {
	// Guards against lines that are lost or reordered by the queue.
	It("writes lines in order", func() {
		output := &stallingWriter{release: make(chan struct{})}
		close(output.release)
		lines := telemetry.NewLineWriter(output)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, _ = lines.Write([]byte(line))
		}
		lines.Close()
		Expect(output.text()).To(Equal("a\nb\nc\n"))
	})

	// Guards against requests that wait because nothing reads the log.
	It("does not block on an output that blocks, and reports the dropped lines", func() {
		output := &stallingWriter{release: make(chan struct{})}
		lines := telemetry.NewLineWriter(output)
		began := time.Now()
		for range 3000 {
			_, _ = lines.Write([]byte("line\n"))
		}
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		close(output.release)
		lines.Close()
		Expect(output.text()).To(ContainSubstring("log lines dropped"))
	})

	// Guards against a process that overloads the disk or the log collector.
	It("limits the volume of the log", func() {
		output := &stallingWriter{release: make(chan struct{})}
		close(output.release)
		lines := telemetry.NewLineWriter(output)
		long := []byte(strings.Repeat("x", 10_000) + "\n")
		for range 1000 {
			_, _ = lines.Write(long)
		}
		lines.Close()
		Expect(len(output.text())).To(BeNumerically("<", 2<<20))
	})
})
