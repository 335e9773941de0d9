package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/harness"
)

const (
	// costStreams is the number of concurrent generations, costTokens the number of
	// tokens of each.
	costStreams = 24
	costTokens  = 300
	// costRequests is the number of short generations, costRequestTokens the number
	// of tokens of each.
	costRequests      = 400
	costRequestTokens = 2
	// costParallelRequests is how many of the short generations run at a time.
	costParallelRequests = 8
)

// cost measures the CPU time of an instance for each token and each request,
// without the time that an idle instance uses.
func (r *runner) cost(ctx context.Context) error {
	return withFleet(ctx, 1, 4, nil, func(f *harness.Fleet, c *harness.Caller) error {
		idleShare, err := r.idleCPUShare(ctx, f)
		if err != nil {
			return err
		}
		perToken, err := r.cpuPerToken(ctx, f, idleShare, func() (int, error) { return streamAll(ctx, c, costStreams, costTokens, costStreams) })
		if err != nil {
			return err
		}
		r.add("cpu_us_per_token", fmt.Sprintf("%d streams", costStreams), "µs", perToken, costStreams*costTokens)
		perTokenOfShort, err := r.cpuPerToken(ctx, f, idleShare, func() (int, error) { return streamAll(ctx, c, costRequests, costRequestTokens, costParallelRequests) })
		if err != nil {
			return err
		}
		// The CPU time of a short generation beyond that of its tokens is the cost of
		// the request itself.
		r.add("cpu_us_per_request", "without its tokens", "µs", (perTokenOfShort-perToken)*costRequestTokens, costRequests)
		return nil
	})
}

// idleCPUShare returns the CPU seconds per second that the instances use without
// requests.
func (r *runner) idleCPUShare(ctx context.Context, f *harness.Fleet) (float64, error) {
	before, err := f.Usage(ctx)
	if err != nil {
		return 0, err
	}
	time.Sleep(r.idleDuration)
	after, err := f.Usage(ctx)
	if err != nil {
		return 0, err
	}
	return (after.CPU - before.CPU).Seconds() / after.At.Sub(before.At).Seconds(), nil
}

// cpuPerToken returns the CPU time for each token that run delivers, in
// microseconds and without the idle share.
func (r *runner) cpuPerToken(ctx context.Context, f *harness.Fleet, idleShare float64, run func() (int, error)) (float64, error) {
	before, err := f.Usage(ctx)
	if err != nil {
		return 0, err
	}
	tokens, err := run()
	if err != nil {
		return 0, err
	}
	after, err := f.Usage(ctx)
	if err != nil {
		return 0, err
	}
	used := (after.CPU - before.CPU).Seconds() - idleShare*after.At.Sub(before.At).Seconds()
	return used * 1e6 / float64(tokens), nil
}

// streamAll runs n generations, of which at most parallel are running at a time,
// and returns the number of delivered tokens.
func streamAll(ctx context.Context, c *harness.Caller, n, tokens, parallel int) (int, error) {
	running := make(chan struct{}, parallel)
	streams := make([]*harness.Stream, n)
	for i := range n {
		running <- struct{}{}
		streams[i] = c.Open(ctx, newGeneration(i, tokens))
		go func() {
			<-streams[i].Done()
			<-running
		}()
	}
	total := 0
	for _, s := range streams {
		if err := s.WaitAndCheck(ctx); err != nil {
			return 0, err
		}
		total += len(s.Events())
	}
	return total, nil
}
