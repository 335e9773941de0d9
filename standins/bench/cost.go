package bench

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/harness"
)

const (
	// costStreams generations run at the same time, each with costTokens tokens.
	costStreams = 24
	costTokens  = 300
	// costRequests are short answers of costRequestTokens tokens each.
	costRequests      = 400
	costRequestTokens = 2
)

// cost measures the processor time that a token and a request take in an
// instance, above what the instance uses while idle.
func (r *runner) cost(ctx context.Context) error {
	return with(ctx, 1, 4, nil, func(f *harness.Fleet, c *harness.Caller) error {
		idle, err := r.idleShare(ctx, f)
		if err != nil {
			return err
		}
		token, err := r.spend(ctx, f, idle, func() (int, error) { return streamAll(ctx, c, costStreams, costTokens, costStreams) })
		if err != nil {
			return err
		}
		r.add("cpu_us_per_token", fmt.Sprintf("%d streams", costStreams), "µs", token, costStreams*costTokens)
		request, err := r.spend(ctx, f, idle, func() (int, error) { return streamAll(ctx, c, costRequests, costRequestTokens, 8) })
		if err != nil {
			return err
		}
		// spend is per token; a request has costRequestTokens of them.
		r.add("cpu_us_per_request", "without its tokens", "µs", (request-token)*costRequestTokens, costRequests)
		return nil
	})
}

// idleShare is the processor time per second without requests.
func (r *runner) idleShare(ctx context.Context, f *harness.Fleet) (float64, error) {
	before, err := f.Usage(ctx)
	if err != nil {
		return 0, err
	}
	time.Sleep(r.controlTime)
	after, err := f.Usage(ctx)
	if err != nil {
		return 0, err
	}
	return (after.CPU - before.CPU).Seconds() / after.At.Sub(before.At).Seconds(), nil
}

// spend returns the microseconds of processor time for each token that do
// delivers.
func (r *runner) spend(ctx context.Context, f *harness.Fleet, idle float64, do func() (int, error)) (float64, error) {
	before, err := f.Usage(ctx)
	if err != nil {
		return 0, err
	}
	tokens, err := do()
	if err != nil {
		return 0, err
	}
	after, err := f.Usage(ctx)
	if err != nil {
		return 0, err
	}
	used := (after.CPU - before.CPU).Seconds() - idle*after.At.Sub(before.At).Seconds()
	return used * 1e6 / float64(tokens), nil
}

// streamAll runs n generations, at most parallel at the same time.
func streamAll(ctx context.Context, c *harness.Caller, n, tokens, parallel int) (int, error) {
	slots := make(chan struct{}, parallel)
	streams := make([]*harness.Stream, n)
	for i := range n {
		slots <- struct{}{}
		streams[i] = c.Open(ctx, request(i, tokens))
		go func() {
			<-streams[i].Done()
			<-slots
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
