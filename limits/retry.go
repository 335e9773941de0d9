package limits

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// retryRatio is the number of retries earned per admitted request.
	retryRatio = 0.1
	// minRetriesPerSecond allows retries on an instance with few requests.
	minRetriesPerSecond = 0.5
	// maxSavedRetries bounds the saved retries and thereby a burst of retries.
	maxSavedRetries = 20
)

// retryReserve is the share of maxSavedRetries that each priority leaves to higher
// ones, indexed by api.Priority.
var retryReserve = [...]float64{0, 0, 0.1, 0.4}

// retryBudget limits retries to a fraction of the admitted requests.
type retryBudget struct {
	credit    float64 // saved retries
	updatedAt time.Duration
}

// newRetryBudget returns a budget that is half full.
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
