package limits

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// retryShare is the part of the admitted requests that may be retried.
	retryShare = 0.1
	// retryFloor keeps retries possible on an instance with few requests.
	retryFloor = 0.5 // per second
	// retryCapacity bounds the saved retries, and with them a burst.
	retryCapacity = 20
)

// retryKept is the part of the capacity that a priority leaves to those above.
var retryKept = [...]float64{0, 0, 0.1, 0.4}

// retryBudget bounds retries to a part of the requests.
type retryBudget struct {
	credit float64
	at     time.Duration
}

func newRetryBudget() retryBudget { return retryBudget{credit: retryCapacity / 2} }

func (b *retryBudget) refill(now time.Duration) {
	if b.at != 0 && now > b.at {
		b.credit = min(retryCapacity, b.credit+retryFloor*(now-b.at).Seconds())
	}
	b.at = now
}

func (b *retryBudget) earn(now time.Duration) {
	b.refill(now)
	b.credit = min(retryCapacity, b.credit+retryShare)
}

func (b *retryBudget) take(now time.Duration, priority api.Priority) bool {
	b.refill(now)
	index := max(0, min(int(priority), len(retryKept)-1))
	if b.credit-1 < retryKept[index]*retryCapacity {
		return false
	}
	b.credit--
	return true
}
