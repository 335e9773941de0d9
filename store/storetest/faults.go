package storetest

import (
	"context"
	"fmt"
	"time"

	"github.com/hibiscusstair/hibiscusstair/store"
)

// Method names a call of store.API.
type Method string

// Methods of store.API.
const (
	Get       Method = "get"
	Put       Method = "put"
	Delete    Method = "delete"
	List      Method = "list"
	Watch     Method = "watch"
	Instances Method = "instances"
)

// Call describes one call for a fault hook.
type Call struct {
	Method          Method
	Key             string
	ExpectedVersion store.Version
}

// IsWrite reports whether the call can change the store.
func (c Call) IsWrite() bool { return c.Method == Put || c.Method == Delete }

// Fault says how one call fails. The zero value is no fault.
type Fault struct {
	// Err is returned without any effect.
	Err error
	// LoseResponse lets the call take effect and returns store.ErrUnknown.
	LoseResponse bool
	// Defer returns store.ErrUnknown; a write takes effect at ReleaseLate.
	Defer bool
	// Delay passes before the call takes effect.
	Delay time.Duration
}

type faults struct {
	outage      bool
	rateLimited bool
	latency     time.Duration
	loseWrites  int
	hook        func(Call) Fault
}

// SetUnavailable makes every call fail with store.ErrUnavailable, waiting watches
// included at their next change.
func (s *Store) SetUnavailable(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.outage = on
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetRateLimited makes every call fail with store.ErrRateLimited.
func (s *Store) SetRateLimited(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.rateLimited = on
}

// SetLatency makes every call but the wait of a watch take the time.
func (s *Store) SetLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.latency = d
}

// LoseWriteResponses lets the next n writes take effect while their answer is
// lost.
func (s *Store) LoseWriteResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.loseWrites = n
}

// SetFaultHook installs a hook that chooses the fault of each call; nil removes it.
func (s *Store) SetFaultHook(hook func(Call) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults.hook = hook
}

// ApplyDeferredWrites lets the writes that were held back by Fault.Late take effect in
// their order, each under its own condition.
func (s *Store) ApplyDeferredWrites() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, apply := range s.late {
		apply()
	}
	s.late = nil
}

// CallCount returns how often a method was called, refused calls included.
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

// ValueBytes returns the size of all values that Get returned or Put received.
func (s *Store) ValueBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bytes
}

func (s *Store) addBytes(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bytes += int64(n)
}

// begin counts the call, chooses its fault and waits for its delay. An error
// means that the call has no effect.
func (s *Store) begin(ctx context.Context, call Call) (Fault, error) {
	fault := s.choose(call)
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

func (s *Store) choose(call Call) Fault {
	s.mu.Lock()
	hook := s.faults.hook
	s.mu.Unlock()
	var fault Fault
	if hook != nil {
		fault = hook(call) // outside the lock, since a hook may use the store
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[call.Method]++
	fault.Delay += s.faults.latency
	switch {
	case s.faults.outage:
		fault.Err = store.ErrUnavailable
	case s.faults.rateLimited:
		fault.Err = store.ErrRateLimited
	case call.IsWrite() && s.faults.loseWrites > 0:
		s.faults.loseWrites--
		fault.LoseResponse = true
	}
	return fault
}

func (s *Store) read(ctx context.Context, call Call, apply func() error) error {
	fault, err := s.begin(ctx, call)
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
	fault, err := s.begin(ctx, call)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if fault.Defer {
		s.late = append(s.late, func() { _ = apply() })
		return store.ErrUnknown
	}
	err = apply()
	if fault.LoseResponse {
		return store.ErrUnknown
	}
	return err
}
