package ticket

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// maxEndpointSlots is the highest number of concurrent requests that a ticket may
	// configure for an endpoint.
	maxEndpointSlots = 4096
	// MaxTicketBytes keeps a ticket below the store's limit of 1 MB per value.
	MaxTicketBytes = 900 << 10
)

var (
	// Identifiers must not contain dots, because event IDs are identifiers
	// joined with dots.
	idPattern         = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	namePattern       = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]{0,126}$`)
	credentialPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const (
	idRule   = "has to be 1 to 63 characters of a-z, 0-9 and -, with no - at either end"
	nameRule = "has to be 1 to 127 characters of A-Z, a-z, 0-9, ., _, / and -"
)

// Validate checks each value of a ticket, the values against each other, and
// the state that results from applying the ticket to before.
func Validate(t *Ticket, before *State) []Finding {
	v := validator{ticket: t, before: before, after: before.clone()}
	v.after.apply(t)
	v.checkStructure()
	for i := range t.Endpoints {
		v.checkEndpoint(fmt.Sprintf("$.endpoints[%d]", i), &t.Endpoints[i])
	}
	for i := range t.Accounts {
		v.checkAccount(fmt.Sprintf("$.accounts[%d]", i), &t.Accounts[i])
	}
	v.checkRemovals()
	v.checkUniqueAddresses()
	v.checkUniqueCredentials()
	v.checkAccountsInUse()
	return v.findings
}

type validator struct {
	ticket   *Ticket
	before   *State
	after    *State
	findings findings
}

func (v *validator) add(path, format string, args ...any) { v.findings.add(path, format, args...) }

// checkStructure checks that the ticket has a number, changes something, and
// lists each endpoint and account only once.
func (v *validator) checkStructure() {
	t := v.ticket
	if t.Number == 0 {
		v.add("$.number", "has to be 1 or more")
	}
	if len(t.Endpoints)+len(t.RemoveEndpoints)+len(t.Accounts)+len(t.RemoveAccounts) == 0 {
		v.add("$", "the ticket changes nothing")
	}
	endpoints := make(map[api.EndpointID]string)
	for i := range t.Endpoints {
		checkUnique(v, endpoints, t.Endpoints[i].ID, fmt.Sprintf("$.endpoints[%d].id", i))
	}
	for i, id := range t.RemoveEndpoints {
		checkUnique(v, endpoints, id, fmt.Sprintf("$.remove_endpoints[%d]", i))
	}
	accounts := make(map[api.AccountID]string)
	for i := range t.Accounts {
		checkUnique(v, accounts, t.Accounts[i].ID, fmt.Sprintf("$.accounts[%d].id", i))
	}
	for i, id := range t.RemoveAccounts {
		checkUnique(v, accounts, id, fmt.Sprintf("$.remove_accounts[%d]", i))
	}
}

// checkUnique adds a finding if the ID was already seen at another path.
func checkUnique[K ~string](v *validator, seen map[K]string, id K, path string) {
	if first, repeated := seen[id]; repeated {
		v.add(path, "%q is named already at %s", id, first)
		return
	}
	seen[id] = path
}

func (v *validator) checkID(path, value string) {
	if !idPattern.MatchString(value) {
		v.add(path, idRule)
	}
}

func (v *validator) checkEndpoint(path string, e *api.Endpoint) {
	v.checkID(path+".id", string(e.ID))
	v.checkID(path+".region", string(e.Region))
	v.checkID(path+".failure_domain", string(e.FailureDomain))
	v.checkID(path+".half", string(e.Half))
	address, err := netip.ParseAddrPort(e.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		v.add(path+".address", "has to be an IP address and a port")
	}
	if e.Role != "" && !namePattern.MatchString(e.Role) {
		v.add(path+".role", nameRule)
	}
	switch e.Kind {
	case api.KindEngine:
		v.checkEngine(path, e)
	case api.KindService:
		v.checkService(path, e)
	default:
		v.add(path+".kind", "has to be engine or service")
	}
	v.checkEndpointAccounts(path, e)
}

func (v *validator) checkEngine(path string, e *api.Endpoint) {
	if len(e.Models) == 0 {
		v.add(path+".models", "an engine needs at least one model")
	}
	seen := make(map[api.ModelRef]bool)
	for i, m := range e.Models {
		modelPath := fmt.Sprintf("%s.models[%d]", path, i)
		if !namePattern.MatchString(m.Model) {
			v.add(modelPath+".model", nameRule)
		}
		if m.Version != "" && !namePattern.MatchString(m.Version) {
			v.add(modelPath+".version", nameRule)
		}
		if m.Adapter != "" && !namePattern.MatchString(m.Adapter) {
			v.add(modelPath+".adapter", nameRule)
		}
		if seen[m] {
			v.add(modelPath, "the model is repeated")
		}
		seen[m] = true
	}
	if e.Slots < 1 || e.Slots > maxEndpointSlots {
		v.add(path+".slots", "has to be 1 to %d", maxEndpointSlots)
	}
	if e.OffersLookup {
		v.add(path+".offers_lookup", "only a service offers a lookup")
	}
}

func (v *validator) checkService(path string, e *api.Endpoint) {
	if len(e.Models) > 0 {
		v.add(path+".models", "a service has no models")
	}
	if e.Slots < 0 || e.Slots > maxEndpointSlots {
		v.add(path+".slots", "has to be 0 to %d", maxEndpointSlots)
	}
}

func (v *validator) checkEndpointAccounts(path string, e *api.Endpoint) {
	seen := make(map[api.AccountID]bool)
	for i, id := range e.Accounts {
		accountPath := fmt.Sprintf("%s.accounts[%d]", path, i)
		account, known := v.after.Accounts[id]
		switch {
		case !known || account.Account == nil:
			v.add(accountPath, "no account %q", id)
		case account.Account.Half != e.Half:
			v.add(accountPath, "the account belongs to half %q", account.Account.Half)
		case seen[id]:
			v.add(accountPath, "the account is repeated")
		}
		seen[id] = true
	}
}

func (v *validator) checkAccount(path string, a *api.Account) {
	v.checkID(path+".id", string(a.ID))
	v.checkID(path+".half", string(a.Half))
	if a.Priority < api.PriorityLookup || a.Priority > api.PriorityDraft {
		v.add(path+".priority", "has to be %d to %d", api.PriorityLookup, api.PriorityDraft)
	}
	if a.RequestsPerSecond < 0 || math.IsInf(a.RequestsPerSecond, 0) || math.IsNaN(a.RequestsPerSecond) {
		v.add(path+".requests_per_second", "has to be 0 or more")
	}
	if a.TokensInFlight < 0 {
		v.add(path+".tokens_in_flight", "has to be 0 or more")
	}
	if !credentialPattern.MatchString(a.CredentialSHA256) {
		v.add(path+".credential_sha256", "has to be 64 hexadecimal digits in lower case")
	}
}

// checkRemovals checks that the removed endpoints and accounts exist.
func (v *validator) checkRemovals() {
	for i, id := range v.ticket.RemoveEndpoints {
		if item, known := v.before.Endpoints[id]; !known || item.Endpoint == nil {
			v.add(fmt.Sprintf("$.remove_endpoints[%d]", i), "no endpoint %q", id)
		}
	}
	for i, id := range v.ticket.RemoveAccounts {
		if item, known := v.before.Accounts[id]; !known || item.Account == nil {
			v.add(fmt.Sprintf("$.remove_accounts[%d]", i), "no account %q", id)
		}
	}
}

// checkUniqueAddresses checks that no two endpoints have the same address.
func (v *validator) checkUniqueAddresses() {
	owners := make(map[string]api.EndpointID, len(v.after.Endpoints))
	for id, item := range v.after.Endpoints {
		if item.Endpoint == nil || item.Ticket == v.ticket.Number {
			continue // removed, or set by this ticket and checked below
		}
		owners[item.Endpoint.Address] = id
	}
	for i := range v.ticket.Endpoints {
		e := &v.ticket.Endpoints[i]
		if other, taken := owners[e.Address]; taken && other != e.ID {
			v.add(fmt.Sprintf("$.endpoints[%d].address", i), "endpoint %q has this address", other)
		}
		owners[e.Address] = e.ID
	}
}

// checkUniqueCredentials checks that no two accounts have the same bearer token.
func (v *validator) checkUniqueCredentials() {
	owners := make(map[string]api.AccountID, len(v.after.Accounts))
	for id, item := range v.after.Accounts {
		if item.Account == nil || item.Ticket == v.ticket.Number {
			continue // removed, or set by this ticket and checked below
		}
		owners[item.Account.CredentialSHA256] = id
	}
	for i := range v.ticket.Accounts {
		a := &v.ticket.Accounts[i]
		if other, taken := owners[a.CredentialSHA256]; taken && other != a.ID {
			v.add(fmt.Sprintf("$.accounts[%d].credential_sha256", i), "account %q has this credential", other)
		}
		owners[a.CredentialSHA256] = a.ID
	}
}

// checkAccountsInUse checks the endpoints that the ticket does not change:
// accounts that they name must not be removed or moved to another half.
func (v *validator) checkAccountsInUse() {
	accountPaths := make(map[api.AccountID]string)
	for i, id := range v.ticket.RemoveAccounts {
		accountPaths[id] = fmt.Sprintf("$.remove_accounts[%d]", i)
	}
	for i := range v.ticket.Accounts {
		accountPaths[v.ticket.Accounts[i].ID] = fmt.Sprintf("$.accounts[%d].half", i)
	}
	for _, id := range sortedKeys(v.after.Endpoints) {
		item := v.after.Endpoints[id]
		if item.Endpoint == nil || item.Ticket == v.ticket.Number {
			continue
		}
		for _, account := range item.Endpoint.Accounts {
			path, changed := accountPaths[account]
			after := v.after.Accounts[account].Account
			if changed && (after == nil || after.Half != item.Endpoint.Half) {
				v.add(path, "endpoint %q names the account", id)
			}
		}
	}
}
