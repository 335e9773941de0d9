package relay

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/hibiscusstair/hibiscusstair/internal/transfer"
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
	// minOthersWait is how long other instances are given although contact is lost.
	minOthersWait = 100 * time.Millisecond
	// maxHelpersAsked is the number of other instances that one read tries while
	// the store is unreachable.
	maxHelpersAsked = 2
)

// readFunc reads a store.
type readFunc[T any] func(ctx context.Context, store storesync.Store) (T, error)

// response is the result of a read.
type response[T any] struct {
	data T
	path path
	err  error
}

// usable reports whether the store has responded.
func (r response[T]) usable() bool { return r.err == nil || isAnswer(r.err) }

// readStore reads the store through other instances, and itself when these have failed or
// when its last response is too old, however many of them are still to be asked. So the
// age of what an instance acts by does not depend on how the others fail. A store that has
// failed is not asked again before directBackoff allows it.
func readStore[T any](ctx context.Context, s *Source, path *pathRecord, call readFunc[T]) (T, error) {
	s.awaitMembers(ctx)
	reading, cancel := context.WithCancel(ctx)
	defer cancel()
	others := inBackground(func() response[T] { return readThroughOthers(reading, s, call) })
	helpersLeft := true
	var storeErr error
	for {
		r, pending := awaitOthers(s, path, others)
		if !pending && r.usable() {
			return finish(s, path, r, storeErr)
		}
		if s.directDelay() > 0 {
			storeErr = cmp.Or(storeErr, errStoreBackoff)
			return finish(s, path, response[T]{path: pathNone, err: storeErr}, storeErr)
		}
		direct := readStoreItself(reading, s, path, call)
		if errors.Is(direct.err, errParentFound) {
			cancel()
			return readStore(ctx, s, path, call)
		}
		if direct.usable() {
			return finish(s, path, direct, nil)
		}
		storeErr = direct.err
		if pending {
			continue
		}
		if !helpersLeft {
			return finish(s, path, direct, storeErr)
		}
		helpersLeft = false
		others = inBackground(func() response[T] { return readThroughHelpers(reading, s, call) })
	}
}

// inBackground returns the response of a read that goes on meanwhile.
func inBackground[T any](read func() response[T]) <-chan response[T] {
	responses := make(chan response[T], 1)
	go func() { responses <- read() }()
	return responses
}

// finish records the path of a response and returns it.
func finish[T any](s *Source, path *pathRecord, r response[T], storeErr error) (T, error) {
	path.record(s.o.Log, r.path, storeErr)
	return r.data, r.err
}

// awaitOthers returns the response of other instances, or true if none has come when this
// instance has to read the store itself.
func awaitOthers[T any](s *Source, path *pathRecord, others <-chan response[T]) (r response[T], pending bool) {
	due := time.NewTimer(max(minOthersWait, path.untilOwnRead(), s.directDelay(), s.firstReadWait()))
	defer due.Stop()
	select {
	case r = <-others:
		return r, false
	case <-due.C:
		s.o.Scope.Counter("read_while_others_are_asked").Inc(1)
		return r, true
	}
}

// directDelay returns the time until this instance may read the store itself.
func (s *Source) directDelay() time.Duration {
	return s.direct.delay(s.o.Clock(), s.readsForOthers() || s.o.AcceptStale())
}

// readThroughOthers reads the store through the parent, or through other instances while
// the store is in backoff.
func readThroughOthers[T any](ctx context.Context, s *Source, call readFunc[T]) response[T] {
	r := readThroughParents(ctx, s, call)
	if r.usable() || !s.direct.preferHelpers(s.o.Clock()) {
		return r
	}
	return readThroughHelpers(ctx, s, call)
}

// readStoreItself reads the store without other instances.
func readStoreItself[T any](ctx context.Context, s *Source, path *pathRecord, call readFunc[T]) response[T] {
	s.o.Scope.Counter("read_directly").Inc(1)
	began := s.o.Clock()
	data, err := readDirectly(ctx, s, path.current(), call)
	r := response[T]{data: data, path: pathStore, err: err}
	transfer.End(ctx, r.usable() || errors.Is(err, errParentFound))
	switch {
	case errors.Is(err, errParentFound):
	case r.usable():
		s.direct.recordResponse()
	default:
		r.path = pathNone
		s.direct.recordFailure(s.o.Clock())
		s.o.Log.Info("store read failed", "reading", path.kind, "after_ms", (s.o.Clock() - began).Milliseconds(), "error", err)
	}
	return r
}

// readThroughParents reads the store through the parent in the tree of readers. An
// instance that does not respond loses its place to the next one.
func readThroughParents[T any](ctx context.Context, s *Source, call readFunc[T]) response[T] {
	r := response[T]{path: pathParent, err: errNoPeer}
	for asked := 0; asked < maxParentsAsked && ctx.Err() == nil; {
		parent := s.parent()
		if parent == "" {
			return response[T]{err: errNoPeer}
		}
		began := s.o.Clock()
		r.data, r.err = call(ctx, s.storeAt(parent))
		if r.usable() {
			s.o.Scope.Counter("read_through_parent").Inc(1)
			return r
		}
		if isNotRead(r.err) && s.firstReadWait() > 0 {
			s.o.Scope.Counter("waits_for_first_read").Inc(1)
			continue
		}
		s.recordPeerFailure(ctx, parent, began, r.err)
		asked++
	}
	return r
}

// readThroughHelpers reads the store through other instances, up to
// maxHelpersAsked.
func readThroughHelpers[T any](ctx context.Context, s *Source, call readFunc[T]) response[T] {
	r := response[T]{path: pathHelper, err: errNoPeer}
	for _, address := range s.selectHelpers() {
		store := s.storeAt(address)
		store.helper, store.acceptStale = true, s.o.AcceptStale()
		began := s.o.Clock()
		r.data, r.err = call(ctx, store)
		if r.err == nil {
			s.o.Scope.Counter("read_through_helper").Inc(1)
			return r
		}
		s.recordPeerFailure(ctx, address, began, r.err)
		if ctx.Err() != nil {
			break
		}
	}
	return r
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
// boot clock time at which it was asked. A call that was given up says nothing of the
// instance.
func (s *Source) recordPeerFailure(ctx context.Context, address string, began time.Duration, err error) {
	if ctx.Err() != nil {
		return
	}
	s.o.Log.Info("store read through another instance failed", "address", address,
		"after_ms", (s.o.Clock() - began).Milliseconds(), "error", err)
	backoff := peerBackoff
	if isRefusal(err) {
		backoff = refusalBackoff
	}
	s.backoff.Start(address, backoff)
	s.o.Scope.Counter("relay_errors").Inc(1)
}
