package relay

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/peer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/storesync"
)

const (
	// avoidTime is how long an instance that failed to answer is not followed.
	avoidTime = 2 * time.Second
	// directPause is how long other instances are asked before the store after
	// the store has failed.
	directPause = 1500 * time.Millisecond
	// helpers is the number of other instances that are asked while the store
	// does not answer.
	helpers = 2
)

// SourceOptions configures a Source.
type SourceOptions struct {
	Self        api.Member
	DirectStore storesync.Store
	// Members returns the instances that are known.
	Members func() []api.Member
	// Seeds are the addresses of instances to ask before any member is known.
	Seeds       []string
	RelayClient func(address string) peerpb.Relay
	DecodeTable func(document []byte) (*routing.Table, error)
	// AcceptStale reports whether this instance has no configuration yet, so that it
	// takes also what others have read long ago.
	AcceptStale func() bool
	Clock       bootclock.Func
	Log         *slog.Logger
	Scope       tally.Scope
}

// Source reads the store by the cheapest way that works: through the instance
// that reads for the failure domain, directly, or through any other instance.
type Source struct {
	o          SourceOptions
	mu         sync.Mutex
	avoid      map[string]time.Duration // until when, by address
	directFail time.Duration            // last failure of the store; 0 is none since an answer
	following  string
}

var _ storesync.Store = (*Source)(nil)

// NewSource returns a source that has not yet read.
func NewSource(o SourceOptions) *Source {
	return &Source{o: o, avoid: make(map[string]time.Duration)}
}

// ReadTable returns the newest configuration.
func (s *Source) ReadTable(ctx context.Context) (storesync.TableRead, error) {
	return read(s, func(store storesync.Store) (storesync.TableRead, error) { return store.ReadTable(ctx) })
}

// WatchTable waits for a newer configuration.
func (s *Source) WatchTable(ctx context.Context, after uint64, wait time.Duration) (storesync.TableRead, error) {
	return read(s, func(store storesync.Store) (storesync.TableRead, error) { return store.WatchTable(ctx, after, wait) })
}

// ListEndpoints returns all registrations.
func (s *Source) ListEndpoints(ctx context.Context) (storesync.EndpointList, error) {
	return read(s, func(store storesync.Store) (storesync.EndpointList, error) { return store.ListEndpoints(ctx) })
}

// WatchEndpoints waits for changes of registrations.
func (s *Source) WatchEndpoints(ctx context.Context, after uint64, wait time.Duration) (storesync.EndpointChanges, error) {
	return read(s, func(store storesync.Store) (storesync.EndpointChanges, error) {
		return store.WatchEndpoints(ctx, after, wait)
	})
}

// read tries the ways in their order until one answers.
func read[T any](s *Source, call func(storesync.Store) (T, error)) (T, error) {
	if leader := s.leader(); leader != "" {
		answer, err := call(s.through(leader, false))
		if err == nil || errors.Is(err, storesync.ErrCompacted) {
			s.o.Scope.Counter("read_through_leader").Inc(1)
			return answer, err
		}
		s.failed(leader)
	}
	if s.directFailing() {
		if answer, err := ask(s, call); err == nil {
			return answer, nil
		}
	}
	s.o.Scope.Counter("read_directly").Inc(1)
	answer, err := call(s.o.DirectStore)
	if err == nil || errors.Is(err, storesync.ErrCompacted) {
		s.direct(0)
		return answer, err
	}
	s.direct(s.o.Clock())
	if answer, helped := ask(s, call); helped == nil {
		return answer, nil
	}
	return answer, err
}

// ask asks some other instances.
func ask[T any](s *Source, call func(storesync.Store) (T, error)) (T, error) {
	var answer T
	err := errNobody
	for _, address := range s.others() {
		answer, err = call(s.through(address, s.o.AcceptStale()))
		if err == nil {
			s.o.Scope.Counter("read_through_helper").Inc(1)
			return answer, nil
		}
		s.failed(address)
	}
	return answer, err
}

var errNobody = errors.New("no other instance is known")

func (s *Source) through(address string, anyAge bool) storesync.Store {
	return &followed{relay: s.o.RelayClient(address), decode: s.o.DecodeTable, anyAge: anyAge}
}

// leader returns the address of the instance that reads for this failure
// domain, or "" if it is this one.
func (s *Source) leader() string {
	addresses := make(map[api.InstanceID]string)
	ids := []api.InstanceID{s.o.Self.ID}
	for _, m := range s.o.Members() {
		if m.ID == s.o.Self.ID || m.FailureDomain != s.o.Self.FailureDomain || m.State != api.MemberAlive {
			continue
		}
		if !s.avoided(m.Address) {
			addresses[m.ID] = m.Address
			ids = append(ids, m.ID)
		}
	}
	leader := addresses[peer.Rank("read", ids)[0]]
	s.note(leader)
	return leader
}

// note logs a change of the instance that is followed.
func (s *Source) note(leader string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if leader != s.following {
		s.o.Log.Info("reading the store through another instance", "address", leader, "before", s.following)
		s.following = leader
	}
}

// others returns the addresses of some other instances in random order. Those
// of the own failure domain know what this one has told them, so they come into
// question only if there are no others.
func (s *Source) others() []string {
	var addresses, own []string
	for _, m := range s.o.Members() {
		if m.ID == s.o.Self.ID || !m.State.Reachable() || s.avoided(m.Address) {
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
	if len(addresses) == 0 {
		for _, seed := range s.o.Seeds {
			if seed != s.o.Self.Address && !s.avoided(seed) {
				addresses = append(addresses, seed)
			}
		}
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(helpers, len(addresses))]
}

func (s *Source) failed(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.avoid[address] = s.o.Clock() + avoidTime
	s.o.Scope.Counter("relay_errors").Inc(1)
}

func (s *Source) avoided(address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.avoid[address]
	if ok && s.o.Clock() >= until {
		delete(s.avoid, address)
		return false
	}
	return ok
}

func (s *Source) direct(failedAt time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.directFail = failedAt
}

func (s *Source) directFailing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.directFail != 0 && s.o.Clock()-s.directFail < directPause
}
