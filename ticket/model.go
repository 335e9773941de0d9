// Package ticket applies configuration changes, called tickets, to a fleet of
// instances. It validates tickets, writes them to the store and distributes them
// between instances.
//
// A written ticket is pending first. While it is pending, an instance starts only
// requests that both the active configuration and the ticket allow: it applies
// the restrictions of the ticket, but does not use yet what the ticket adds. Then
// it acknowledges the ticket to a few instances, the collectors. Once all required
// instances have acknowledged the ticket, a collector accepts it by updating the
// ticket head in the store, and the ticket becomes part of the active
// configuration.
package ticket

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// Store keys of tickets.
const (
	// controlPrefix is the prefix that instances watch. It contains the ticket
	// head and the registrations of instances.
	controlPrefix  = "control/"
	headKey        = controlPrefix + "ticket-head"
	memberPrefix   = controlPrefix + "members/" // written by package fleet
	ticketPrefix   = "tickets/"
	snapshotPrefix = "ticket-snapshots/"
)

// Ticket is a numbered configuration change. It contains the complete new state
// of each endpoint and account that it changes.
type Ticket struct {
	Number          uint64           `json:"number"`
	Endpoints       []api.Endpoint   `json:"endpoints,omitempty"`
	RemoveEndpoints []api.EndpointID `json:"remove_endpoints,omitempty"`
	Accounts        []api.Account    `json:"accounts,omitempty"`
	RemoveAccounts  []api.AccountID  `json:"remove_accounts,omitempty"`
}

// digest returns a hash of the ticket's content that does not depend on the
// formatting of its JSON.
func (t *Ticket) digest() [sha256.Size]byte {
	canonical, err := json.Marshal(t)
	if err != nil {
		// Cannot fail: only infinite numbers and NaN have no JSON form. A ticket
		// that was parsed from JSON has none, and validation rejects them as well.
		panic("ticket: " + err.Error())
	}
	return sha256.Sum256(canonical)
}

// changedEndpoints returns the new state of each endpoint that the ticket
// changes; nil if the ticket removes it.
func (t *Ticket) changedEndpoints() map[api.EndpointID]*api.Endpoint {
	changed := make(map[api.EndpointID]*api.Endpoint, len(t.Endpoints)+len(t.RemoveEndpoints))
	for i := range t.Endpoints {
		changed[t.Endpoints[i].ID] = &t.Endpoints[i]
	}
	for _, id := range t.RemoveEndpoints {
		changed[id] = nil
	}
	return changed
}

// HeldEndpoint is an endpoint that left a half while instances of that half were
// still running requests on it. Another half must not use it until they end.
type HeldEndpoint struct {
	Endpoint api.EndpointID `json:"endpoint"`
	Half     api.Half       `json:"half"`   // the half that it left
	Ticket   uint64         `json:"ticket"` // the ticket that moved or removed it
}

// Head is the ticket head in the store. A ticket counts as written once the
// head lists it.
type Head struct {
	Latest   uint64 `json:"latest"`   // highest written ticket
	Accepted uint64 `json:"accepted"` // highest accepted ticket
	// Tickets are the numbers of the written tickets above the snapshot,
	// ascending.
	Tickets []uint64 `json:"tickets"`
	// Snapshot is the number of the last ticket that the snapshot contains; 0
	// means that there is no snapshot.
	Snapshot      uint64         `json:"snapshot,omitempty"`
	SnapshotParts int            `json:"snapshot_parts,omitempty"`
	Held          []HeldEndpoint `json:"held,omitempty"`
}

// lists reports whether the ticket is one of Tickets.
func (h *Head) lists(number uint64) bool {
	_, found := slices.BinarySearch(h.Tickets, number)
	return found
}

// pending returns the numbers of the tickets that are written but not accepted.
func (h *Head) pending() []uint64 {
	i, _ := slices.BinarySearch(h.Tickets, h.Accepted+1)
	return h.Tickets[i:]
}

func (h *Head) clone() Head {
	c := *h
	c.Tickets = slices.Clone(h.Tickets)
	c.Held = slices.Clone(h.Held)
	return c
}

func (h *Head) encode() []byte {
	value, err := json.Marshal(h)
	if err != nil {
		panic("ticket: " + err.Error()) // cannot fail: Head has only numbers and strings
	}
	return value
}

func decodeHead(value []byte) (Head, error) {
	var h Head
	if len(value) == 0 {
		return h, nil
	}
	if err := json.Unmarshal(value, &h); err != nil {
		return h, Error.New("decode ticket head: %w", err)
	}
	if !slices.IsSorted(h.Tickets) || h.Accepted > h.Latest {
		return h, Error.New("ticket head is inconsistent: unsorted list of tickets, or accepted ticket %d above latest ticket %d", h.Accepted, h.Latest)
	}
	return h, nil
}

func ticketKey(number uint64) string { return fmt.Sprintf("%s%020d", ticketPrefix, number) }

func snapshotKey(number uint64, part int) string {
	return fmt.Sprintf("%s%020d/%d", snapshotPrefix, number, part)
}
