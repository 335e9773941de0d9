package relay

import (
	"context"
	"errors"
	"time"
)

// An instance that starts knows no other, and all of a fleet may start at the same
// moment. If each of them reads the store, the documents of a large fleet fill the link
// between regions, time out and are requested again.
const (
	// maxMembersWait is how long the first read waits until this instance knows others.
	// An exchange with a seed in another region takes about 35 ms with its connection.
	maxMembersWait = 40 * time.Millisecond
	// maxFirstStartWait replaces it when the fleet starts for the first time, when
	// nobody waits. Seeds may start a little later than this instance.
	maxFirstStartWait = time.Second
	// maxFirstReadWait is how long after its own start an instance waits for a parent
	// that has not read the store yet.
	maxFirstReadWait = 1500 * time.Millisecond
	// parentCheckInterval is how often a direct read that began without known members
	// checks whether there is a parent.
	parentCheckInterval = 20 * time.Millisecond
)

// errParentFound means that a direct read was given up because another instance reads
// for the failure domain.
var errParentFound = errors.New("another instance reads the store for the failure domain")

// awaitMembers delays the first reads until this instance knows others.
func (s *Source) awaitMembers(ctx context.Context) {
	s.startOnce.Do(func() { s.startedAt = s.o.Clock() })
	longest := maxMembersWait
	if s.o.FirstStart {
		longest = maxFirstStartWait
	}
	left := longest - (s.o.Clock() - s.startedAt)
	if s.membersKnown() || left <= 0 {
		return
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-s.o.MembersKnown:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// membersKnown reports whether another instance has sent its member table, or none is
// configured.
func (s *Source) membersKnown() bool {
	if s.o.MembersKnown == nil {
		return true
	}
	select {
	case <-s.o.MembersKnown:
		return true
	default:
		return false
	}
}

// firstReadWait returns how long a parent that has not read the store yet is still given.
func (s *Source) firstReadWait() time.Duration {
	return max(0, maxFirstReadWait-(s.o.Clock()-s.startedAt))
}

// readDirectly reads from the store. A read that begins before this instance knows
// others is given up once another instance reads for the failure domain. A small
// document has arrived by then.
func readDirectly[T any](ctx context.Context, s *Source, before path, call readFunc[T]) (T, error) {
	store := s.o.DirectStore
	if before != pathStore {
		store = takeoverStore{store}
	}
	if s.membersKnown() {
		return call(ctx, store)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	go s.cancelOnceParentKnown(ctx, cancel)
	response, err := call(ctx, store)
	if err != nil && errors.Is(context.Cause(ctx), errParentFound) {
		s.o.Scope.Counter("direct_reads_given_up").Inc(1)
		return response, errParentFound
	}
	return response, err
}

// cancelOnceParentKnown cancels the context once another instance reads for the failure domain.
func (s *Source) cancelOnceParentKnown(ctx context.Context, cancel context.CancelCauseFunc) {
	select {
	case <-s.o.MembersKnown:
	case <-ctx.Done():
		return
	}
	ticker := time.NewTicker(parentCheckInterval)
	defer ticker.Stop()
	for s.parent() == "" {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	cancel(errParentFound)
}
