package order

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/store"
)

const (
	// formatKey is the key of the object that says how claims are stored. Two
	// instances that store claims differently could each claim the same order.
	formatKey = "orders-format"
	// formatRetryInterval is the time between attempts to read that object.
	formatRetryInterval = 500 * time.Millisecond
)

// claimFormat compares the format in which this instance stores claims with the
// format in the store.
type claimFormat struct {
	value   []byte        // format of this instance
	checked chan struct{} // closed when matches is set
	matches bool          // the stored format is that of this instance
}

func newClaimFormat(o Options) *claimFormat {
	value := `{"writer":"single"}`
	if o.BatchClaims {
		value = fmt.Sprintf(`{"writer":"batch","shards":%d}`, batchShardCount(o.BatchClaimShards))
	}
	return &claimFormat{value: []byte(value), checked: make(chan struct{})}
}

// run retries the check until it has a result or the context ends.
func (f *claimFormat) run(ctx context.Context, api store.API) {
	for !f.check(ctx, api) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(formatRetryInterval):
		}
	}
}

// check compares the stored format with that of this instance and reports whether
// it has a result. If none is stored, it writes that of this instance.
func (f *claimFormat) check(ctx context.Context, api store.API) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	object, err := api.Get(ctx, formatKey)
	if errors.Is(err, store.ErrNotFound) {
		_, err = api.Put(ctx, formatKey, f.value, 0)
		object.Value = f.value
	}
	if err != nil {
		return false // the next check reads what a write with an unknown outcome left
	}
	f.matches = bytes.Equal(object.Value, f.value)
	close(f.checked)
	return true
}

// waitUntilChecked waits for the result of the check, at most as long as a dispatch
// window. It returns nil if the instance may read and write claims.
func (f *claimFormat) waitUntilChecked(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, DispatchWindow)
	defer cancel()
	select {
	case <-f.checked:
	case <-ctx.Done():
		return reason.New(reason.StoreUnavailable, "the store was not reached since the start").WithRetryAfter(time.Second)
	}
	if !f.matches {
		return reason.New(reason.NotReady, "the instance stores claims in another way than the store has them")
	}
	return nil
}
