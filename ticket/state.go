package ticket

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// EndpointEntry is the state of one endpoint and the ticket that set it.
type EndpointEntry struct {
	Ticket   uint64        `json:"ticket"`
	Endpoint *api.Endpoint `json:"endpoint"` // nil: removed
}

// AccountEntry is the state of one account and the ticket that set it.
type AccountEntry struct {
	Ticket  uint64       `json:"ticket"`
	Account *api.Account `json:"account"` // nil: removed
}

// State is the result of applying a set of tickets. For each endpoint and
// account the ticket with the highest number wins, so that the order in which
// tickets are applied does not matter.
type State struct {
	Endpoints map[api.EndpointID]EndpointEntry
	Accounts  map[api.AccountID]AccountEntry
	// lastAppliedWins is a mutation: the ticket applied last wins. The property
	// test has to detect it.
	lastAppliedWins bool
}

// NewState returns an empty state.
func NewState() *State {
	return &State{Endpoints: make(map[api.EndpointID]EndpointEntry), Accounts: make(map[api.AccountID]AccountEntry)}
}

func (s *State) clone() *State {
	return &State{Endpoints: maps.Clone(s.Endpoints), Accounts: maps.Clone(s.Accounts), lastAppliedWins: s.lastAppliedWins}
}

// replaces reports whether a ticket replaces the state that the current ticket of
// an endpoint or account set.
func (s *State) replaces(number, current uint64) bool { return number >= current || s.lastAppliedWins }

// apply applies a ticket to the state.
func (s *State) apply(t *Ticket) {
	for i := range t.Endpoints {
		s.setEndpoint(t.Endpoints[i].ID, EndpointEntry{Ticket: t.Number, Endpoint: &t.Endpoints[i]})
	}
	for _, id := range t.RemoveEndpoints {
		s.setEndpoint(id, EndpointEntry{Ticket: t.Number})
	}
	for i := range t.Accounts {
		s.setAccount(t.Accounts[i].ID, AccountEntry{Ticket: t.Number, Account: &t.Accounts[i]})
	}
	for _, id := range t.RemoveAccounts {
		s.setAccount(id, AccountEntry{Ticket: t.Number})
	}
}

func (s *State) setEndpoint(id api.EndpointID, item EndpointEntry) {
	if s.replaces(item.Ticket, s.Endpoints[id].Ticket) {
		s.Endpoints[id] = item
	}
}

func (s *State) setAccount(id api.AccountID, item AccountEntry) {
	if s.replaces(item.Ticket, s.Accounts[id].Ticket) {
		s.Accounts[id] = item
	}
}

func (s *State) endpointMap() map[api.EndpointID]api.Endpoint {
	m := make(map[api.EndpointID]api.Endpoint, len(s.Endpoints))
	for id, item := range s.Endpoints {
		if item.Endpoint != nil {
			m[id] = *item.Endpoint
		}
	}
	return m
}

func (s *State) accountMap() map[api.AccountID]api.Account {
	m := make(map[api.AccountID]api.Account, len(s.Accounts))
	for id, item := range s.Accounts {
		if item.Account != nil {
			m[id] = *item.Account
		}
	}
	return m
}

// snapshotPart is one stored object of a snapshot. Removed endpoints and
// accounts are left out: their tickets are needed only to ignore tickets with
// lower numbers, and no ticket below the snapshot's number is applied any more.
type snapshotPart struct {
	Number    uint64          `json:"number"`
	Endpoints []EndpointEntry `json:"endpoints,omitempty"`
	Accounts  []AccountEntry  `json:"accounts,omitempty"`
}

const (
	// maxPartItemsBytes keeps a part below the store's limit of 1 MB per value,
	// with room for the JSON around the items.
	maxPartItemsBytes = 800 << 10
)

// encodeSnapshot encodes the state in parts that fit into values of the store.
func (s *State) encodeSnapshot(number uint64) [][]byte {
	var parts [][]byte
	part, size := snapshotPart{Number: number}, 0
	flush := func() {
		value, err := json.Marshal(part)
		if err != nil {
			panic("ticket: " + err.Error()) // cannot fail: the items were parsed from JSON
		}
		parts = append(parts, value)
		part, size = snapshotPart{Number: number}, 0
	}
	// reserve adds the size of an item to the part, or to a new one if it does not
	// fit.
	reserve := func(item any) {
		value, _ := json.Marshal(item)
		if size > 0 && size+len(value) > maxPartItemsBytes {
			flush()
		}
		size += len(value) + 1
	}
	for _, id := range sortedKeys(s.Endpoints) {
		if item := s.Endpoints[id]; item.Endpoint != nil {
			reserve(item)
			part.Endpoints = append(part.Endpoints, item)
		}
	}
	for _, id := range sortedKeys(s.Accounts) {
		if item := s.Accounts[id]; item.Account != nil {
			reserve(item)
			part.Accounts = append(part.Accounts, item)
		}
	}
	flush()
	return parts
}

// decodeSnapshot returns the state that the parts of a snapshot contain.
func decodeSnapshot(number uint64, parts [][]byte) (*State, error) {
	s := NewState()
	for _, value := range parts {
		var part snapshotPart
		if err := json.Unmarshal(value, &part); err != nil {
			return nil, Error.New("decode snapshot %d: %w", number, err)
		}
		if part.Number != number {
			return nil, Error.New("part of snapshot %d belongs to snapshot %d", number, part.Number)
		}
		for _, item := range part.Endpoints {
			if item.Endpoint != nil {
				s.setEndpoint(item.Endpoint.ID, item)
			}
		}
		for _, item := range part.Accounts {
			if item.Account != nil {
				s.setAccount(item.Account.ID, item)
			}
		}
	}
	return s, nil
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
