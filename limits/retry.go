package limits

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// retryRatio is the part of the admitted requests that may be retried.
	retryRatio = 0.1
	// minRetriesPerSecond keeps retries possible on an instance with few requests.
	minRetriesPerSecond = 0.5 // per second
	// maxSavedRetries bounds the saved retries, and with them a burst.
	maxSavedRetries = 20
)

// retryReserve is the part of the capacity that a priority leaves to those above.
var retryReserve = [...]float64{0, 0, 0.1, 0.4}

// retryBudget bounds retries to a part of the requests.
type retryBudget struct {
	credit    float64
	updatedAt time.Duration
}

func newRetryBudget() retryBudget { return retryBudget{credit: maxSavedRetries / 2} }

func (b *retryBudget) refill(now time.Duration) {
	if b.updatedAt != 0 && now > b.updatedAt {
		b.credit = min(maxSavedRetries, b.credit+minRetriesPerSecond*(now-b.updatedAt).Seconds())
	}
	b.updatedAt = now
}

func (b *retryBudget) recordAdmission(now time.Duration) {
	b.refill(now)
	b.credit = min(maxSavedRetries, b.credit+retryRatio)
}

func (b *retryBudget) take(now time.Duration, priority api.Priority) bool {
	b.refill(now)
	index := max(0, min(int(priority), len(retryReserve)-1))
	if b.credit-1 < retryReserve[index]*maxSavedRetries {
		return false
	}
	b.credit--
	return true
}
