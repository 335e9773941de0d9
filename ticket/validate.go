package ticket

import (
	"fmt"
	"math"
	"net/netip"
	"regexp"

	"github.com/hibiscusstair/hibiscusstair/api"
)

const (
	// maxSlots bounds the generations that run on one engine at the same time.
	maxSlots = 4096
	// MaxTicketBytes keeps a ticket below the store's limit of 1 MB.
	MaxTicketBytes = 900 << 10
)

var (
	// Identifiers have no dots, because event ids are joined with dots.
	idPattern         = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)
	namePattern       = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._/-]{0,126}$`)
	credentialPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)
)

const (
	idRule   = "has to be 1 to 63 characters of a-z, 0-9 and -, with no - at either end"
	nameRule = "has to be 1 to 127 characters of A-Z, a-z, 0-9, ., _, / and -"
)

// Validate checks a ticket as a whole: each value, the values against each
// other, and the result against the state that it would apply to.
func Validate(t *Ticket, before *State) []Finding {
	v := validator{ticket: t, before: before, after: before.clone()}
	v.after.apply(t)
	v.shape()
	for i := range t.Endpoints {
		v.endpoint(fmt.Sprintf("$.endpoints[%d]", i), &t.Endpoints[i])
	}
	for i := range t.Accounts {
		v.account(fmt.Sprintf("$.accounts[%d]", i), &t.Accounts[i])
	}
	v.removals()
	v.uniqueAddresses()
	v.uniqueCredentials()
	v.removedAccountsInUse()
	return v.findings
}

type validator struct {
	ticket   *Ticket
	before   *State
	after    *State
	findings findings
}

func (v *validator) add(path, format string, args ...any) { v.findings.add(path, format, args...) }

func (v *validator) shape() {
	t := v.ticket
	if t.Number == 0 {
		v.add("$.number", "has to be 1 or more")
	}
	if len(t.Endpoints)+len(t.RemoveEndpoints)+len(t.Accounts)+len(t.RemoveAccounts) == 0 {
		v.add("$", "the ticket changes nothing")
	}
	endpoints := make(map[api.EndpointID]string)
	for i := range t.Endpoints {
		unique(v, endpoints, t.Endpoints[i].ID, fmt.Sprintf("$.endpoints[%d].id", i))
	}
	for i, id := range t.RemoveEndpoints {
		unique(v, endpoints, id, fmt.Sprintf("$.remove_endpoints[%d]", i))
	}
	accounts := make(map[api.AccountID]string)
	for i := range t.Accounts {
		unique(v, accounts, t.Accounts[i].ID, fmt.Sprintf("$.accounts[%d].id", i))
	}
	for i, id := range t.RemoveAccounts {
		unique(v, accounts, id, fmt.Sprintf("$.remove_accounts[%d]", i))
	}
}

func unique[K ~string](v *validator, seen map[K]string, id K, path string) {
	if first, repeated := seen[id]; repeated {
		v.add(path, "%q is named already at %s", id, first)
		return
	}
	seen[id] = path
}

func (v *validator) id(path, value string) {
	if !idPattern.MatchString(value) {
		v.add(path, idRule)
	}
}

func (v *validator) endpoint(path string, e *api.Endpoint) {
	v.id(path+".id", string(e.ID))
	v.id(path+".region", string(e.Region))
	v.id(path+".failure_domain", string(e.FailureDomain))
	v.id(path+".half", string(e.Half))
	address, err := netip.ParseAddrPort(e.Address)
	if err != nil || address.Port() == 0 || address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		v.add(path+".address", "has to be an IP address and a port")
	}
	if e.Role != "" && !namePattern.MatchString(e.Role) {
		v.add(path+".role", nameRule)
	}
	switch e.Kind {
	case api.KindEngine:
		v.engine(path, e)
	case api.KindService:
		v.service(path, e)
	default:
		v.add(path+".kind", "has to be engine or service")
	}
	v.endpointAccounts(path, e)
}

func (v *validator) engine(path string, e *api.Endpoint) {
	if len(e.Models) == 0 {
		v.add(path+".models", "an engine needs at least one model")
	}
	seen := make(map[api.ModelRef]bool)
	for i, m := range e.Models {
		at := fmt.Sprintf("%s.models[%d]", path, i)
		if !namePattern.MatchString(m.Model) {
			v.add(at+".model", nameRule)
		}
		if m.Version != "" && !namePattern.MatchString(m.Version) {
			v.add(at+".version", nameRule)
		}
		if m.Adapter != "" && !namePattern.MatchString(m.Adapter) {
			v.add(at+".adapter", nameRule)
		}
		if seen[m] {
			v.add(at, "the model is repeated")
		}
		seen[m] = true
	}
	if e.Slots < 1 || e.Slots > maxSlots {
		v.add(path+".slots", "has to be 1 to %d", maxSlots)
	}
	if e.OffersLookup {
		v.add(path+".offers_lookup", "only a service offers a lookup")
	}
}

func (v *validator) service(path string, e *api.Endpoint) {
	if len(e.Models) > 0 {
		v.add(path+".models", "a service has no models")
	}
	if e.Slots < 0 || e.Slots > maxSlots {
		v.add(path+".slots", "has to be 0 to %d", maxSlots)
	}
}

func (v *validator) endpointAccounts(path string, e *api.Endpoint) {
	seen := make(map[api.AccountID]bool)
	for i, id := range e.Accounts {
		at := fmt.Sprintf("%s.accounts[%d]", path, i)
		account, known := v.after.Accounts[id]
		switch {
		case !known || account.Account == nil:
			v.add(at, "no account %q", id)
		case account.Account.Half != e.Half:
			v.add(at, "the account belongs to half %q", account.Account.Half)
		case seen[id]:
			v.add(at, "the account is repeated")
		}
		seen[id] = true
	}
}

func (v *validator) account(path string, a *api.Account) {
	v.id(path+".id", string(a.ID))
	v.id(path+".half", string(a.Half))
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

func (v *validator) removals() {
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

func (v *validator) uniqueAddresses() {
	owner := make(map[string]api.EndpointID, len(v.after.Endpoints))
	for id, item := range v.after.Endpoints {
		if item.Endpoint == nil || item.Ticket == v.ticket.Number {
			continue
		}
		owner[item.Endpoint.Address] = id
	}
	for i := range v.ticket.Endpoints {
		e := &v.ticket.Endpoints[i]
		if other, taken := owner[e.Address]; taken && other != e.ID {
			v.add(fmt.Sprintf("$.endpoints[%d].address", i), "endpoint %q has this address", other)
		}
		owner[e.Address] = e.ID
	}
}

// uniqueCredentials keeps one bearer token from naming two accounts.
func (v *validator) uniqueCredentials() {
	owner := make(map[string]api.AccountID, len(v.after.Accounts))
	for id, item := range v.after.Accounts {
		if item.Account == nil || item.Ticket == v.ticket.Number {
			continue
		}
		owner[item.Account.CredentialSHA256] = id
	}
	for i := range v.ticket.Accounts {
		a := &v.ticket.Accounts[i]
		if other, taken := owner[a.CredentialSHA256]; taken && other != a.ID {
			v.add(fmt.Sprintf("$.accounts[%d].credential_sha256", i), "account %q has this credential", other)
		}
		owner[a.CredentialSHA256] = a.ID
	}
}

// removedAccountsInUse reports endpoints that the ticket does not touch and
// that would name an account that is gone or belongs to another half.
func (v *validator) removedAccountsInUse() {
	changed := make(map[api.AccountID]string)
	for i, id := range v.ticket.RemoveAccounts {
		changed[id] = fmt.Sprintf("$.remove_accounts[%d]", i)
	}
	for i := range v.ticket.Accounts {
		changed[v.ticket.Accounts[i].ID] = fmt.Sprintf("$.accounts[%d].half", i)
	}
	for _, id := range sortedKeys(v.after.Endpoints) {
		item := v.after.Endpoints[id]
		if item.Endpoint == nil || item.Ticket == v.ticket.Number {
			continue
		}
		for _, account := range item.Endpoint.Accounts {
			path, touched := changed[account]
			after := v.after.Accounts[account].Account
			if touched && (after == nil || after.Half != item.Endpoint.Half) {
				v.add(path, "endpoint %q names the account", id)
			}
		}
	}
}
