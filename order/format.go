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
	// formatKey names the object that says how claims are stored. Two instances
	// that store them differently could each claim the same order.
	formatKey = "orders-format"
	// formatRetry is the time between tries to read it.
	formatRetry = 500 * time.Millisecond
)

// format is the check of this instance's way of storing claims. known is closed
// when the check has a result.
type format struct {
	value []byte
	known chan struct{}
	equal bool
}

func newFormat(o Options) *format {
	value := `{"writer":"single"}`
	if o.BatchClaims {
		value = fmt.Sprintf(`{"writer":"batch","shards":%d}`, batchShards(o.BatchClaimShards))
	}
	return &format{value: []byte(value), known: make(chan struct{})}
}

// run tries until the check has a result or the context ends.
func (f *format) run(ctx context.Context, from store.API) {
	for !f.try(ctx, from) {
		select {
		case <-ctx.Done():
			return
		case <-time.After(formatRetry):
		}
	}
}

// try compares the stored format; the first instance writes it.
func (f *format) try(ctx context.Context, from store.API) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	object, err := from.Get(ctx, formatKey)
	if errors.Is(err, store.ErrNotFound) {
		_, err = from.Put(ctx, formatKey, f.value, 0)
		object.Value = f.value
	}
	if err != nil {
		return false // another try reads what the write left
	}
	f.equal = bytes.Equal(object.Value, f.value)
	close(f.known)
	return true
}

// wait returns nil if claims may be used.
func (f *format) wait(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, DispatchWindow)
	defer cancel()
	select {
	case <-f.known:
	case <-ctx.Done():
		return reason.New(reason.StoreUnavailable, "the store was not reached since the start").WithRetryAfter(time.Second)
	}
	if !f.equal {
		return reason.New(reason.NotReady, "the instance stores claims in another way than the store has them")
	}
	return nil
}
