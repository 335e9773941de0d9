package api

// Config is the configuration as one instance sees it. A Config is immutable;
// the ticket slice replaces the whole value when something changes.
type Config struct {
	// Ticket is the number of the highest accepted ticket.
	Ticket    uint64
	Endpoints map[EndpointID]Endpoint
	Accounts  map[AccountID]Account
	// Pending lists the tickets that are written but not yet accepted. Their
	// restrictions apply already.
	Pending []Pending
	// Held lists endpoints that changed halves and on which an instance of the
	// old half still runs work. The new half does not use them yet.
	Held map[EndpointID]bool
}

// Pending is the state that a pending ticket gives to the endpoints it touches.
type Pending struct {
	Ticket uint64
	// Endpoints has the new state by endpoint; nil stands for removal.
	Endpoints map[EndpointID]*Endpoint
}

// MayDispatch reports whether an instance of the given half may start new work
// on the endpoint. Both the configuration in force and every pending ticket
// have to allow it, so that an endpoint that leaves stops receiving work
// before the ticket is accepted.
func (c *Config) MayDispatch(id EndpointID, half Half) bool {
	if c == nil {
		return false
	}
	endpoint, ok := c.Endpoints[id]
	if !ok || endpoint.Half != half || c.Held[id] {
		return false
	}
	for _, pending := range c.Pending {
		next, touched := pending.Endpoints[id]
		if touched && (next == nil || next.Half != half) {
			return false
		}
	}
	return true
}

// MayServe reports whether new work of the account for the model may start on
// the endpoint, under the configuration in force and every pending ticket.
func (c *Config) MayServe(id EndpointID, half Half, account AccountID, model ModelRef) bool {
	if !c.MayDispatch(id, half) {
		return false
	}
	current := c.Endpoints[id]
	if !current.Admits(account) || !current.Serves(model) {
		return false
	}
	for _, pending := range c.Pending {
		next, touched := pending.Endpoints[id]
		if touched && (!next.Admits(account) || !next.Serves(model)) {
			return false
		}
	}
	return true
}
