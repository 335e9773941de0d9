package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// returnMemory is how long the first arrival of a refused request is remembered.
	// Callers come back within a few seconds and give up after about 25 s.
	returnMemory = 30 * time.Second
	// maxRemembered bounds the remembered requests.
	maxRemembered = 1024
)

// returns remembers when callers whose requests were refused first sent them. A retry has
// another request ID, so requests are known by account and content.
type returns struct {
	arrivals map[returnKey]arrival
	order    []returnKey // oldest first; some may have been forgotten
}

type returnKey struct {
	account api.AccountID
	content uint64
}

type arrival struct{ first, expires time.Duration }

func newReturns() returns { return returns{arrivals: make(map[returnKey]arrival)} }

func keyOf(r Request) returnKey { return returnKey{r.Account, r.Content} }

func (m *returns) firstArrival(now time.Duration, r Request) time.Duration {
	known, ok := m.arrivals[keyOf(r)]
	if !ok || r.Content == 0 || now >= known.expires {
		return r.Received
	}
	return min(known.first, r.Received)
}

func (m *returns) remember(now time.Duration, r Request) {
	if r.Content == 0 {
		return
	}
	key := keyOf(r)
	if _, ok := m.arrivals[key]; !ok {
		m.order = append(m.order, key)
	}
	m.arrivals[key] = arrival{r.Arrived, now + returnMemory}
	for len(m.order) > 0 && (len(m.order) > maxRemembered || now >= m.arrivals[m.order[0]].expires) {
		delete(m.arrivals, m.order[0])
		m.order = m.order[1:]
	}
}

func (m *returns) forget(r Request) { delete(m.arrivals, keyOf(r)) }

// retrySpread is the part by which the advised Retry-After differs between requests, in
// both directions, so that callers don't return together.
const retrySpread = 0.3

// spread returns a factor around 1 that depends on the request ID only.
func spread(id string) float64 {
	share := float64(xxhash.Sum64String(id)>>11) / float64(1<<53)
	return 1 - retrySpread + 2*retrySpread*share
}
