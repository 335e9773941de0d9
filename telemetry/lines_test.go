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

// stalled is a reader that takes nothing until it is released.
type stalled struct {
	release chan struct{}
	mu      sync.Mutex
	out     bytes.Buffer
}

func (s *stalled) Write(line []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.Write(line)
}

func (s *stalled) text() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.out.String()
}

var _ = Describe("LineWriter", func() {
	It("writes lines in their order", func() {
		reader := &stalled{release: make(chan struct{})}
		close(reader.release)
		lines := telemetry.NewLineWriter(reader)
		for _, line := range []string{"a\n", "b\n", "c\n"} {
			_, _ = lines.Write([]byte(line))
		}
		lines.Close()
		Expect(reader.text()).To(Equal("a\nb\nc\n"))
	})

	// Guards against requests that wait for whoever reads the log.
	It("never blocks on a reader that stalls, and says what was dropped", func() {
		reader := &stalled{release: make(chan struct{})}
		lines := telemetry.NewLineWriter(reader)
		began := time.Now()
		for range 3000 {
			_, _ = lines.Write([]byte("line\n"))
		}
		Expect(time.Since(began)).To(BeNumerically("<", time.Second))
		close(reader.release)
		lines.Close()
		Expect(reader.text()).To(ContainSubstring("log lines dropped"))
	})

	It("bounds the volume", func() {
		reader := &stalled{release: make(chan struct{})}
		close(reader.release)
		lines := telemetry.NewLineWriter(reader)
		long := []byte(strings.Repeat("x", 10_000) + "\n")
		for range 1000 {
			_, _ = lines.Write(long)
		}
		lines.Close()
		Expect(len(reader.text())).To(BeNumerically("<", 2<<20))
	})
})
