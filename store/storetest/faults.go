package storetest

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscusstair/hibiscusstair/store"
)

// Method names a call of store.API.
type Method string

// Names of the methods of store.API.
const (
	Get       Method = "get"
	Put       Method = "put"
	Delete    Method = "delete"
	List      Method = "list"
	Watch     Method = "watch"
	Instances Method = "instances"
)

// Call describes one call to a fault hook.
type Call struct {
	Method          Method
	Key             string        // the prefix for List and Watch, empty for Instances
	ExpectedVersion store.Version // of a write
}

// IsWrite reports whether the call can change the store.
func (c Call) IsWrite() bool { return c.Method == Put || c.Method == Delete }

// Fault says how one call fails. The zero value is no fault.
type Fault struct {
	// Err is returned, and the call has no effect.
	Err error
	// LoseResponse makes the call return store.ErrUnknown, though it takes effect.
	LoseResponse bool
	// Defer makes the call return store.ErrUnknown. A write takes effect at
	// ApplyDeferredWrites. A watch ignores it.
	Defer bool
	// Delay passes before the call takes effect.
	Delay time.Duration
}

// persistentFaults are the faults that the setters of Store have chosen.
type persistentFaults struct {
	unavailable          bool
	rateLimited          bool
	latency              time.Duration
	writeResponsesToLose int
	hook                 func(Call) Fault
}

// SetUnavailable makes every call fail with store.ErrUnavailable, including watches
// that are already waiting.
func (s *Store) SetUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.unavailable = unavailable
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetRateLimited makes every call fail with store.ErrRateLimited.
func (s *Store) SetRateLimited(rateLimited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.rateLimited = rateLimited
}

// SetLatency adds a delay to every call. That of a watch counts towards its wait.
func (s *Store) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.latency = d
}

// LoseWriteResponses makes the next n writes return store.ErrUnknown, though they
// take effect.
func (s *Store) LoseWriteResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.writeResponsesToLose = n
}

// SetFaultHook installs a hook that chooses the fault of each call; nil removes it.
func (s *Store) SetFaultHook(hook func(Call) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.hook = hook
}

// ApplyDeferredWrites applies the writes that Fault.Defer delayed, in their order and
// each with its own condition.
func (s *Store) ApplyDeferredWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, apply := range s.deferredWrites {
		apply()
	}
	s.deferredWrites = nil
}

// CallCount returns how often a method was called, including refused calls.
func (s *Store) CallCount(method Method) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method]
}

// TotalCalls returns the number of calls of all methods.
func (s *Store) TotalCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0
	for _, n := range s.calls {
		total += n
	}
	return total
}

// ValueBytes returns the total size of the values that Get returned or Put received,
// without those of List and Watch.
func (s *Store) ValueBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.valueBytes
}

func (s *Store) addBytes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.valueBytes += int64(n)
}

// startCall counts the call, chooses its fault and waits for its delay. An error means
// that the call has no effect.
func (s *Store) startCall(ctx context.Context, call Call) (Fault, error) {
	fault := s.chooseFault(call)
	if fault.Delay > 0 {
		timer := time.NewTimer(fault.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return fault, fmt.Errorf("%w: %v", store.ErrUnknown, ctx.Err())
		}
	}
	return fault, fault.Err
}

// chooseFault returns the fault of the hook, overridden by the faults of the setters.
func (s *Store) chooseFault(call Call) Fault {
	s.mu.Lock()
	hook := s.faults.hook
	s.mu.Unlock()
	var fault Fault
	if hook != nil {
		fault = hook(call) // without the lock, since a hook may use the store
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[call.Method]++
	fault.Delay += s.faults.latency
	switch {
	case s.faults.unavailable:
		fault.Err = store.ErrUnavailable
	case s.faults.rateLimited:
		fault.Err = store.ErrRateLimited
	case call.IsWrite() && s.faults.writeResponsesToLose > 0:
		s.faults.writeResponsesToLose--
		fault.LoseResponse = true
	}
	return fault
}

func (s *Store) read(ctx context.Context, call Call, apply func() error) error {
	fault, err := s.startCall(ctx, call)
	if err != nil {
		return err
	}
	if fault.LoseResponse || fault.Defer {
		return store.ErrUnknown
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return apply()
}

func (s *Store) write(ctx context.Context, call Call, apply func() error) error {
	fault, err := s.startCall(ctx, call)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault.Defer {
		s.deferredWrites = append(s.deferredWrites, func() { _ = apply() })
		return store.ErrUnknown
	}
	err = apply()
	if fault.LoseResponse {
		return store.ErrUnknown
	}
	return err
}
