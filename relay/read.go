package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/hibiscusstair/hibiscusstair/storesync"
)

const (
	// peerBackoff is how long an instance is not asked after a failed read
	// through it.
	peerBackoff = 2 * time.Second
	// refusalBackoff replaces it for an instance that has lost the store itself, which
	// responds at once and may regain it.
	refusalBackoff = 750 * time.Millisecond
	// maxParentsAsked is the number of instances that one read tries as its parent in
	// the tree of readers. A silent one takes up to 0.8 s.
	maxParentsAsked = 3
	// maxHelpersAsked is the number of other instances that one read tries while
	// the store is unreachable.
	maxHelpersAsked = 2
)

// readFunc reads a store.
type readFunc[T any] func(ctx context.Context, store storesync.Store) (T, error)

// readStore tries the parent, the store and other instances in this order until
// one responds. While the store is in backoff, other instances are tried before
// it, and the store only if directBackoff allows it.
func readStore[T any](ctx context.Context, s *Source, path *pathRecord, call readFunc[T]) (T, error) {
	s.awaitMembers(ctx)
	if response, err := readThroughParents(ctx, s, call); err == nil || isAnswer(err) {
		path.record(s.o.Log, pathParent, nil)
		return response, err
	}
	if s.direct.preferHelpers(s.o.Clock()) {
		if response, err := readThroughHelpers(ctx, s, call); err == nil {
			path.record(s.o.Log, pathHelper, nil)
			return response, nil
		}
	}
	if !s.direct.allow(s.o.Clock(), s.readsForOthers() || s.o.AcceptStale()) {
		var response T
		path.record(s.o.Log, pathNone, errStoreBackoff)
		return response, errStoreBackoff
	}
	s.o.Scope.Counter("read_directly").Inc(1)
	began := s.o.Clock()
	response, err := readDirectly(ctx, s, path.current(), call)
	if errors.Is(err, errParentFound) {
		return readStore(ctx, s, path, call)
	}
	if err == nil || isAnswer(err) {
		path.record(s.o.Log, pathStore, nil)
		s.direct.recordResponse()
		return response, err
	}
	s.direct.recordFailure(s.o.Clock())
	s.o.Log.Info("store read failed", "reading", path.kind, "after_ms", (s.o.Clock() - began).Milliseconds(), "error", err)
	if response, peerErr := readThroughHelpers(ctx, s, call); peerErr == nil {
		path.record(s.o.Log, pathHelper, err)
		return response, nil
	}
	path.record(s.o.Log, pathNone, err)
	return response, err
}

// readThroughParents reads the store through the parent in the tree of readers. An
// instance that does not respond loses its place to the next one.
func readThroughParents[T any](ctx context.Context, s *Source, call readFunc[T]) (T, error) {
	var response T
	err := errNoPeer
	for asked := 0; asked < maxParentsAsked; {
		parent := s.parent()
		if parent == "" {
			return response, errNoPeer
		}
		began := s.o.Clock()
		response, err = call(ctx, s.storeAt(parent))
		if err == nil || isAnswer(err) {
			s.o.Scope.Counter("read_through_parent").Inc(1)
			return response, err
		}
		if isNotRead(err) && s.firstReadMayCome() {
			s.o.Scope.Counter("waits_for_first_read").Inc(1)
			continue
		}
		s.recordPeerFailure(parent, began, err)
		asked++
	}
	return response, err
}

// readThroughHelpers reads the store through other instances, up to
// maxHelpersAsked.
func readThroughHelpers[T any](ctx context.Context, s *Source, call readFunc[T]) (T, error) {
	var response T
	err := errNoPeer
	for _, address := range s.selectHelpers() {
		store := s.storeAt(address)
		store.helper, store.acceptStale = true, s.o.AcceptStale()
		began := s.o.Clock()
		response, err = call(ctx, store)
		if err == nil {
			s.o.Scope.Counter("read_through_helper").Inc(1)
			return response, nil
		}
		s.recordPeerFailure(address, began, err)
	}
	return response, err
}

// isRefusal reports whether an instance has responded that it does not reach the store.
func isRefusal(err error) bool {
	var code twirp.Error
	return errors.As(err, &code) && code.Code() == errThroughHelper.Code()
}

// isNotRead reports whether an instance has not read the store since its start.
func isNotRead(err error) bool {
	var code twirp.Error
	return errors.As(err, &code) && code.Code() == errNotRead.Code()
}

// isAnswer reports whether an error is what the store says of the requested revision.
func isAnswer(err error) bool {
	return errors.Is(err, storesync.ErrCompacted) || errors.Is(err, storesync.ErrRestored)
}

var errNoPeer = errors.New("no other instance to read the store through")

// selectHelpers returns the addresses of up to maxHelpersAsked other instances in
// random order. Instances of the same failure domain are chosen only if there are no
// others: they may have lost the store together.
func (s *Source) selectHelpers() []string {
	var addresses, own []string
	for _, m := range s.o.Members() {
		if m.ID == s.o.Self.ID || !m.State.Reachable() || s.backoff.Contains(m.Address) {
			continue
		}
		if m.FailureDomain == s.o.Self.FailureDomain {
			own = append(own, m.Address)
			continue
		}
		addresses = append(addresses, m.Address)
	}
	if len(addresses) == 0 {
		addresses = own
	}
	if len(addresses) == 0 && s.o.SeedAddresses != nil {
		for _, seed := range s.o.SeedAddresses() {
			if seed != s.o.Self.Address && !s.backoff.Contains(seed) {
				addresses = append(addresses, seed)
			}
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(maxHelpersAsked, len(addresses))]
}

// recordPeerFailure starts the backoff of an instance, so that there is at most one line
// for each instance and peerBackoff, or refusalBackoff if it has refused. began is the
// boot clock time at which it was asked.
func (s *Source) recordPeerFailure(address string, began time.Duration, err error) {
	s.o.Log.Info("store read through another instance failed", "address", address,
		"after_ms", (s.o.Clock() - began).Milliseconds(), "error", err)
	backoff := peerBackoff
	if isRefusal(err) {
		backoff = refusalBackoff
	}
	s.backoff.Start(address, backoff)
	s.o.Scope.Counter("relay_errors").Inc(1)
}
