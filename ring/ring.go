// Package ring provides the bounded queue that joins the goroutines of two
// duties. A full ring is a refusal that the sender counts.
package ring

import "context"

// Ring is a bounded first-in, first-out queue. It is safe for several senders;
// one goroutine receives.
type Ring[T any] struct {
	slots chan T
}

// New returns a ring with room for capacity messages.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{slots: make(chan T, capacity)}
}

// Offer adds a message and reports false when the ring is full.
func (r *Ring[T]) Offer(message T) bool {
	select {
	case r.slots <- message:
		return true
	default:
		return false
	}
}

// Put adds a message and waits for room until the context ends. It is for
// senders that must not drop the message and can pass backpressure on.
func (r *Ring[T]) Put(ctx context.Context, message T) error {
	select {
	case r.slots <- message:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// PutUntil adds a message and waits for room until stopped is closed, which the
// receiver does when it ends. It reports whether the message was added.
func (r *Ring[T]) PutUntil(stopped <-chan struct{}, message T) bool {
	select {
	case r.slots <- message:
		return true
	case <-stopped:
		return false
	}
}

// C returns the channel to receive from.
func (r *Ring[T]) C() <-chan T { return r.slots }

// Len returns the number of queued messages.
func (r *Ring[T]) Len() int { return len(r.slots) }
