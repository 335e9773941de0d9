// Package ring provides the bounded queue that joins the goroutines of two
// duties. A full ring is a refusal that the sender counts.
package ring

import "context"

// Queue is a bounded first-in, first-out queue. It is safe for several senders;
// one goroutine receives.
type Queue[T any] struct {
	slots chan T
}

// New returns a ring with room for capacity messages.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{slots: make(chan T, capacity)}
}

// TryPut adds a message and reports false when the ring is full.
func (r *Queue[T]) TryPut(message T) bool {
	select {
	case r.slots <- message:
		return true
	default:
		return false
	}
}

// Put adds a message and waits for room until the context ends. It is for
// senders that must not drop the message and can pass backpressure on.
func (r *Queue[T]) Put(ctx context.Context, message T) error {
	select {
	case r.slots <- message:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// PutUntil adds a message and waits for room until stopped is closed, which the
// receiver does when it ends. It reports whether the message was added.
func (r *Queue[T]) PutUntil(stopped <-chan struct{}, message T) bool {
	select {
	case r.slots <- message:
		return true
	case <-stopped:
		return false
	}
}

// C returns the channel to receive from.
func (r *Queue[T]) C() <-chan T { return r.slots }

// Len returns the number of queued messages.
func (r *Queue[T]) Len() int { return len(r.slots) }
