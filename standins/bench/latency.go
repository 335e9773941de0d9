package bench

import (
	"context"
	"errors"
	"regexp"
	"strconv"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/cutproxy"
	"github.com/hibiscusstair/hibiscusstair/standins/harness"
)

// chunkPattern matches the position and the token of a chunk. They identify the
// chunk: two generations have the same token at a position with a probability of
// 1 in 50,000.
var chunkPattern = regexp.MustCompile(`"position":(\d+),"token":(\d+)`)

// chunkTimes has the time at which each chunk was sent by its engine.
type chunkTimes struct {
	mu sync.Mutex
	at map[string]time.Time // by position/token
}

// recordChunks records the chunks in a part of an engine's response. A chunk that is
// split between two parts is not recorded, so its latency is left out.
func (s *chunkTimes) recordChunks(_ string, direction cutproxy.Direction, data []byte) {
	if direction != cutproxy.Down {
		return
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, match := range chunkPattern.FindAllSubmatch(data, -1) {
		key := string(match[1]) + "/" + string(match[2])
		if _, found := s.at[key]; !found {
			s.at[key] = now
		}
	}
}

// latency measures the time from the sending of a chunk by an engine until the
// caller receives the event with its token.
func (r *runner) latency(ctx context.Context) error {
	for _, streams := range []int{1, 12} {
		times := &chunkTimes{at: make(map[string]time.Time)}
		err := withFleet(ctx, 1, 2, nil, func(f *harness.Fleet, c *harness.Caller) error {
			for _, spec := range f.Options.Endpoints {
				f.Endpoint(string(spec.ID)).Proxy.Tap(times.recordChunks)
			}
			var open []*harness.Stream
			for n := range streams {
				open = append(open, c.Open(ctx, newGeneration(n, r.tokens)))
			}
			latency := newHistogram()
			for _, s := range open {
				if err := s.WaitAndCheck(ctx); err != nil {
					return err
				}
				times.addLatencies(s, latency)
			}
			if latency.h.TotalCount() == 0 {
				return errors.New("no received event matches a chunk that an engine sent")
			}
			variant := strconv.Itoa(streams) + " streams"
			r.results = append(r.results, latency.percentile("added_token_latency_p95_ms", variant, 95))
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// addLatencies adds the latency of each event of the stream to the histogram.
func (s *chunkTimes) addLatencies(stream *harness.Stream, latency histogram) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, event := range stream.Events() {
		if at, found := s.at[strconv.Itoa(event.Position)+"/"+strconv.Itoa(event.Token)]; found {
			latency.add(event.At.Sub(at))
		}
	}
}
