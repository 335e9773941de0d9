// Package ring provides a bounded FIFO queue between goroutines. When it is
// full, a sender either drops its message (TryPut) or waits (Put, PutUntil).
package ring

import "context"

// Queue is a bounded first-in, first-out queue. It is safe for several senders
// and one receiver.
type Queue[T any] struct {
	messages chan T
}

// New returns a queue with room for capacity messages.
func New[T any](capacity int) *Queue[T] {
	return &Queue[T]{messages: make(chan T, capacity)}
}

// TryPut adds a message without blocking. It returns false if the queue is
// full.
func (q *Queue[T]) TryPut(message T) bool {
	select {
	case q.messages <- message:
		return true
	default:
		return false
	}
}

// Put adds a message and waits for room until the context ends. It is for
// senders that must not drop the message and can apply backpressure.
func (q *Queue[T]) Put(ctx context.Context, message T) error {
	select {
	case q.messages <- message:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// PutUntil adds a message and waits for room until stopped is closed, which the
// receiver does when it ends. It reports whether the message was added.
func (q *Queue[T]) PutUntil(stopped <-chan struct{}, message T) bool {
	select {
	case q.messages <- message:
		return true
	case <-stopped:
		return false
	}
}

// C returns the channel to receive from.
func (q *Queue[T]) C() <-chan T { return q.messages }

// Len returns the number of queued messages.
func (q *Queue[T]) Len() int { return len(q.messages) }
