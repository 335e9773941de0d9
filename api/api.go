// Package api defines the types that the components of an instance share:
// identifiers, the configuration snapshot, the entries of the member table, and
// the requests and results of placement and admission.
package api

// InstanceID names one running instance of the system.
type InstanceID string

// EndpointID names an engine or a service that requests are routed to.
type EndpointID string

// AccountID names a client account.
type AccountID string

// Half names one of the two halves of the organisation. An instance uses only
// the endpoints of its own half.
type Half string

// Region names a group of failure domains joined by free, fast links.
type Region string

// FailureDomain names a set of instances and endpoints that fail together.
type FailureDomain string

// Place says where an instance or an endpoint runs.
type Place struct {
	Region        Region        `json:"region"`
	FailureDomain FailureDomain `json:"failure_domain"`
}

// ModelRef identifies the exact weights that a generation runs on. Two
// endpoints may continue each other's generations only if the whole value is
// equal.
type ModelRef struct {
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
}

// Priority orders requests; a lower value is served first.
type Priority int

// Priorities from the highest to the lowest.
const (
	// PriorityLookup is for status lookups, which people wait for.
	PriorityLookup Priority = iota
	// PriorityOrder is for binding orders.
	PriorityOrder
	// PriorityInteractive is for generations that a person watches.
	PriorityInteractive
	// PriorityDraft is for generations that can wait.
	PriorityDraft
)

// EndpointKind says which protocol an endpoint speaks.
type EndpointKind string

// Kinds of endpoint.
const (
	// KindEngine is a model engine that generates tokens.
	KindEngine EndpointKind = "engine"
	// KindService is a service that executes orders and looks up their status.
	KindService EndpointKind = "service"
)

// Endpoint is the whole configured state of one endpoint.
type Endpoint struct {
	ID      EndpointID   `json:"id"`
	Kind    EndpointKind `json:"kind"`
	Address string       `json:"address"` // IP address and port
	Place
	Half     Half        `json:"half"`
	Models   []ModelRef  `json:"models,omitempty"`
	Accounts []AccountID `json:"accounts,omitempty"` // empty: all accounts of the half
	Slots    int         `json:"slots"`              // requests that run at the same time
	// ChecksFence says that the endpoint refuses a command or order
	// whose fencing token is stale.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// OffersLookup says that a service reports its bookings, so that the outcome of an
	// order can be looked up there.
	OffersLookup bool `json:"offers_lookup,omitempty"`
	// Role is the role that an engine is commanded to take; empty: no command.
	Role string `json:"role,omitempty"`
}

// Serves reports whether the endpoint is configured for the model.
func (e Endpoint) Serves(m ModelRef) bool {
	for _, have := range e.Models {
		if have == m {
			return true
		}
	}
	return false
}

// Admits reports whether the endpoint is configured for the client account.
func (e Endpoint) Admits(account AccountID) bool {
	if len(e.Accounts) == 0 {
		return true
	}
	for _, have := range e.Accounts {
		if have == account {
			return true
		}
	}
	return false
}

// Account is the whole configured state of one client account.
type Account struct {
	ID       AccountID `json:"id"`
	Half     Half      `json:"half"`
	Priority Priority  `json:"priority"`
	// RequestsPerSecond limits the account over all instances; 0 is no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// TokensInFlight limits the sum of the tokens that the account's running
	// generations request, over all instances; 0 is no limit.
	TokensInFlight int `json:"tokens_in_flight,omitempty"`
	// CredentialSHA256 is the SHA-256 of the bearer token, in hexadecimal.
	CredentialSHA256 string `json:"credential_sha256"`
}
