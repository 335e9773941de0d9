package api

// Config is the active configuration of one instance. A Config is immutable; the
// ticket component replaces the whole value when something changes.
type Config struct {
	// Ticket is the number of the highest accepted ticket.
	Ticket    uint64
	Endpoints map[EndpointID]Endpoint
	Accounts  map[AccountID]Account
	// Pending lists the tickets that are written but not yet accepted. Their
	// restrictions already apply.
	Pending []PendingTicket
	// Held contains the endpoints that changed halves while an instance of the
	// old half still runs requests on them. The new half does not use them yet.
	Held map[EndpointID]bool
}

// PendingTicket is a pending ticket with the new state of the endpoints that it
// changes.
type PendingTicket struct {
	Ticket uint64
	// Endpoints maps each changed endpoint to its new state; nil is a removal.
	Endpoints map[EndpointID]*Endpoint
}

// MayDispatch reports whether an instance of the given half may start new
// requests on the endpoint. The active configuration and every pending ticket
// have to allow it, so that an endpoint that leaves the half stops
// receiving new requests before the ticket is accepted.
func (c *Config) MayDispatch(id EndpointID, half Half) bool {
	if c == nil {
		return false
	}
	endpoint, ok := c.Endpoints[id]
	if !ok || endpoint.Half != half || c.Held[id] {
		return false
	}
	for _, pending := range c.Pending {
		next, changed := pending.Endpoints[id]
		if changed && (next == nil || next.Half != half) {
			return false
		}
	}
	return true
}

// MayServe reports whether a new request of the account for the model may start
// on the endpoint, under the active configuration and every pending ticket. It is
// for engines; services have no models.
func (c *Config) MayServe(id EndpointID, half Half, account AccountID, model ModelRef) bool {
	if !c.MayDispatch(id, half) {
		return false
	}
	current := c.Endpoints[id]
	if !current.Admits(account) || !current.Serves(model) {
		return false
	}
	for _, pending := range c.Pending {
		next, changed := pending.Endpoints[id]
		if changed && (!next.Admits(account) || !next.Serves(model)) {
			return false
		}
	}
	return true
}
