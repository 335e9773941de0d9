// Package ticket holds the change tickets and the configuration in force. It
// validates and writes tickets, passes them on between instances, collects
// acknowledgements and accepts tickets.
package ticket

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// Store keys of the slice.
const (
	// controlPrefix is watched: it holds the head and the registrations.
	controlPrefix  = "control/"
	headKey        = controlPrefix + "ticket-head"
	memberPrefix   = controlPrefix + "members/" // written by the fleet slice
	ticketPrefix   = "tickets/"
	snapshotPrefix = "ticket-snapshots/"
)

// Ticket is a numbered change. It carries the complete new state of everything
// that it touches.
type Ticket struct {
	Number          uint64           `json:"number"`
	Endpoints       []api.Endpoint   `json:"endpoints,omitempty"`
	RemoveEndpoints []api.EndpointID `json:"remove_endpoints,omitempty"`
	Accounts        []api.Account    `json:"accounts,omitempty"`
	RemoveAccounts  []api.AccountID  `json:"remove_accounts,omitempty"`
}

// digest identifies the content of a ticket, whatever the layout of its JSON.
func (t *Ticket) digest() [sha256.Size]byte {
	canonical, err := json.Marshal(t)
	if err != nil {
		// Validation refuses the only values without a JSON form, infinite
		// numbers, and JSON cannot express them.
		panic("ticket: " + err.Error())
	}
	return sha256.Sum256(canonical)
}

// touches returns the state that the ticket gives to the endpoints it touches;
// nil stands for removal.
func (t *Ticket) touches() map[api.EndpointID]*api.Endpoint {
	touched := make(map[api.EndpointID]*api.Endpoint, len(t.Endpoints)+len(t.RemoveEndpoints))
	for i := range t.Endpoints {
		touched[t.Endpoints[i].ID] = &t.Endpoints[i]
	}
	for _, id := range t.RemoveEndpoints {
		touched[id] = nil
	}
	return touched
}

// HeldEndpoint is an endpoint that left a half while instances of that half still ran
// work on it. Another half does not use it yet.
type HeldEndpoint struct {
	Endpoint api.EndpointID `json:"endpoint"`
	Half     api.Half       `json:"half"` // the half that still runs work
	Ticket   uint64         `json:"ticket"`
}

// Head is the value of the store's ticket head. A ticket counts as written
// once the head names it.
type Head struct {
	Latest   uint64 `json:"latest"`
	Accepted uint64 `json:"accepted"`
	// Tickets are the numbers above the snapshot, ascending.
	Tickets []uint64 `json:"tickets"`
	// Snapshot is the number up to which the tickets are folded into the
	// snapshot; 0 is none.
	Snapshot      uint64         `json:"snapshot,omitempty"`
	SnapshotParts int            `json:"snapshot_parts,omitempty"`
	Held          []HeldEndpoint `json:"held,omitempty"`
}

func (h *Head) names(number uint64) bool {
	_, found := slices.BinarySearch(h.Tickets, number)
	return found
}

// pending returns the numbers that are written and not accepted.
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
		panic("ticket: " + err.Error()) // only numbers and strings
	}
	return value
}

func decodeHead(value []byte) (Head, error) {
	var h Head
	if len(value) == 0 {
		return h, nil
	}
	if err := json.Unmarshal(value, &h); err != nil {
		return h, Error.Wrap(err)
	}
	if !slices.IsSorted(h.Tickets) || h.Accepted > h.Latest {
		return h, Error.New("the ticket head is inconsistent")
	}
	return h, nil
}

func ticketKey(number uint64) string { return fmt.Sprintf("%s%020d", ticketPrefix, number) }

func snapshotKey(number uint64, part int) string {
	return fmt.Sprintf("%s%020d/%d", snapshotPrefix, number, part)
}
