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

// chunkPattern finds position and token of a chunk. The two identify it well
// enough: another generation has the same token at the same position with a
// probability of 1 in 50,000.
var chunkPattern = regexp.MustCompile(`"position":(\d+),"token":(\d+)`)

// sightings has the time at which each token left its engine.
type sightings struct {
	mu sync.Mutex
	at map[string]time.Time
}

// see records the chunks in a piece of an engine's answer.
func (s *sightings) see(_ string, direction cutproxy.Direction, data []byte) {
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

// latency measures the time from an engine's chunk to the caller's event.
func (r *runner) latency(ctx context.Context) error {
	for _, streams := range []int{1, 12} {
		seen := &sightings{at: make(map[string]time.Time)}
		err := with(ctx, 1, 2, nil, func(f *harness.Fleet, c *harness.Caller) error {
			for _, spec := range f.Options.Endpoints {
				f.Endpoint(string(spec.ID)).Proxy.Tap(seen.see)
			}
			var open []*harness.Stream
			for n := range streams {
				open = append(open, c.Open(ctx, request(n, r.tokens)))
			}
			added := newHistogram()
			for _, s := range open {
				if err := s.WaitAndCheck(ctx); err != nil {
					return err
				}
				seen.compare(s, added)
			}
			if added.h.TotalCount() == 0 {
				return errors.New("no chunk of an engine was recognised")
			}
			variant := strconv.Itoa(streams) + " streams"
			r.results = append(r.results, added.quantile("added_token_latency_p95_ms", variant, 95))
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *sightings) compare(stream *harness.Stream, added histogram) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, event := range stream.Events() {
		if at, found := s.at[strconv.Itoa(event.Position)+"/"+strconv.Itoa(event.Token)]; found {
			added.add(event.At.Sub(at))
		}
	}
}
