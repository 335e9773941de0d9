package ticket

import (
	"context"
	"encoding/json"
	"net/http"
	"reflect"
	"strconv"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// stateAt returns the state after the tickets up to a number. The number has to
// be at or above the snapshot.
func (v *View) stateAt(number uint64) *State {
	state := NewState()
	if v.SnapshotState != nil {
		state = v.SnapshotState.clone()
	}
	for _, n := range v.Head.Tickets {
		if n <= number {
			state.apply(v.Tickets[n].ticket)
		}
	}
	return state
}

// EndpointChange is one endpoint of a diff. Before or After is null if the
// endpoint does not exist in that state.
type EndpointChange struct {
	ID     api.EndpointID `json:"id"`
	Before *api.Endpoint  `json:"before"`
	After  *api.Endpoint  `json:"after"`
}

// AccountChange is one account of a diff. Before or After is null if the account
// does not exist in that state.
type AccountChange struct {
	ID     api.AccountID `json:"id"`
	Before *api.Account  `json:"before"`
	After  *api.Account  `json:"after"`
}

// DiffBody is the difference between the states after two tickets.
type DiffBody struct {
	From      uint64           `json:"from"`
	To        uint64           `json:"to"`
	Endpoints []EndpointChange `json:"endpoints"`
	Accounts  []AccountChange  `json:"accounts"`
}

// diffStates returns the endpoints and accounts that differ. after has to contain
// every endpoint and account of before, removed ones without a value.
func diffStates(before, after *State) ([]EndpointChange, []AccountChange) {
	endpoints, accounts := []EndpointChange{}, []AccountChange{}
	for _, id := range sortedKeys(after.Endpoints) {
		beforeItem, afterItem := before.Endpoints[id].Endpoint, after.Endpoints[id].Endpoint
		if !reflect.DeepEqual(beforeItem, afterItem) {
			endpoints = append(endpoints, EndpointChange{ID: id, Before: beforeItem, After: afterItem})
		}
	}
	for _, id := range sortedKeys(after.Accounts) {
		beforeItem, afterItem := before.Accounts[id].Account, after.Accounts[id].Account
		if !reflect.DeepEqual(beforeItem, afterItem) {
			accounts = append(accounts, AccountChange{ID: id, Before: beforeItem, After: afterItem})
		}
	}
	return endpoints, accounts
}

func (r *Runner) getDiff(w http.ResponseWriter, request *http.Request) error {
	view := r.view.Load()
	from, err := ticketNumberFromQuery(request, "from", view.Head.Accepted)
	if err != nil {
		return err
	}
	to, err := ticketNumberFromQuery(request, "to", view.Head.Latest)
	if err != nil {
		return err
	}
	if from > to {
		return reason.New(reason.BadRequest, "from is above to").WithField("from")
	}
	if from < view.Head.Snapshot {
		return reason.New(reason.NotFound, "tickets below %d are folded into the snapshot", view.Head.Snapshot).WithField("from")
	}
	if to > view.Head.Latest {
		return reason.New(reason.NotFound, "the latest ticket is %d", view.Head.Latest).WithField("to")
	}
	body := DiffBody{From: from, To: to}
	// The later state contains every endpoint and account of the earlier one,
	// because removed ones stay without a value.
	body.Endpoints, body.Accounts = diffStates(view.stateAt(from), view.stateAt(to))
	httpapi.WriteJSON(w, http.StatusOK, body)
	return nil
}

// ticketNumberFromQuery returns the ticket number in a query parameter, or
// defaultNumber if the parameter is missing.
func ticketNumberFromQuery(request *http.Request, name string, defaultNumber uint64) (uint64, error) {
	text := request.URL.Query().Get(name)
	if text == "" {
		return defaultNumber, nil
	}
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, reason.New(reason.BadRequest, "%q is not a ticket number", text).WithField(name)
	}
	return number, nil
}

// Blocker is an instance that acceptance waits for.
type Blocker struct {
	Instance     api.InstanceID `json:"instance"`
	State        string         `json:"state"`
	Acknowledged uint64         `json:"acknowledged"`
	Why          string         `json:"why"`
}

// PendingBody is a ticket that is not accepted yet.
type PendingBody struct {
	Number       uint64    `json:"number"`
	PendingForMs int64     `json:"pending_for_ms"`
	BlockedBy    []Blocker `json:"blocked_by"`
}

// HeldBody is a held endpoint with the instances of its old half that have not
// acknowledged the ticket or still run requests on the endpoint.
type HeldBody struct {
	HeldEndpoint
	BusyOn []api.InstanceID `json:"busy_on"`
}

// StatusBody is the state of the tickets as this instance knows it.
type StatusBody struct {
	Instance    api.InstanceID `json:"instance"`
	Ready       bool           `json:"ready"`
	Latest      uint64         `json:"latest"`
	Accepted    uint64         `json:"accepted"`
	HeadVersion uint64         `json:"head_version"`
	// StoreContactAgeMs is -1 if this instance has had no store contact; only one
	// instance of each failure domain contacts the store regularly.
	StoreContactAgeMs int64         `json:"store_contact_age_ms"`
	Pending           []PendingBody `json:"pending"`
	Held              []HeldBody    `json:"held"`
}

func (r *Runner) getStatus(w http.ResponseWriter, request *http.Request) error {
	ctx, cancel := context.WithTimeout(request.Context(), operatorTimeout)
	defer cancel()
	view := r.view.Load()
	now := r.options.Clock()
	body := StatusBody{
		Instance: r.options.Instance, Ready: r.Ready(),
		Latest: view.Head.Latest, Accepted: view.Head.Accepted, HeadVersion: view.HeadVersion,
		StoreContactAgeMs: -1, Pending: []PendingBody{}, Held: []HeldBody{},
	}
	if contact := r.StoreContact(); contact >= 0 {
		body.StoreContactAgeMs = (now - contact).Milliseconds()
	}
	if len(view.Head.pending())+len(view.Head.Held) > 0 {
		r.addBlockers(ctx, now, view, &body)
	}
	httpapi.WriteJSON(w, http.StatusOK, body)
	return nil
}

// addBlockers adds the pending tickets and held endpoints to the status, with
// the instances that each of them waits for.
func (r *Runner) addBlockers(ctx context.Context, now time.Duration, view *View, body *StatusBody) {
	acks := r.collectAcks(ctx, view.Head.Latest)
	required := r.listRequiredInstances(ctx)
	for _, number := range view.Head.pending() {
		pending := PendingBody{Number: number, BlockedBy: []Blocker{}}
		if since, known := view.PendingSince[number]; known {
			pending.PendingForMs = (now - since).Milliseconds()
		}
		for _, id := range sortedKeys(required) {
			m := required[id]
			a := acks[id]
			if a.Incarnation >= m.Incarnation && a.Ticket >= number {
				continue
			}
			why := "has not acknowledged the ticket"
			if m.State == api.MemberDead {
				why = "is dead and not expelled"
			}
			blocker := Blocker{Instance: id, State: m.State.String(), Acknowledged: a.Ticket, Why: why}
			pending.BlockedBy = append(pending.BlockedBy, blocker)
		}
		body.Pending = append(body.Pending, pending)
	}
	for _, h := range view.Head.Held {
		held := HeldBody{HeldEndpoint: h, BusyOn: []api.InstanceID{}}
		for _, id := range sortedKeys(required) {
			a := acks[id]
			if required[id].Half == h.Half && (a.Ticket < h.Ticket || a.isBusyOn(h.Endpoint)) {
				held.BusyOn = append(held.BusyOn, id)
			}
		}
		body.Held = append(body.Held, held)
	}
}

// collectAcks returns the newest acknowledgements that the collectors have
// received. It queries one collector more than each acknowledgement is sent to,
// because one of them may not respond.
func (r *Runner) collectAcks(ctx context.Context, latest uint64) map[api.InstanceID]Ack {
	acks := make(map[api.InstanceID]Ack)
	members := r.options.Members()
	queried := 0
	for _, id := range collectorOrder(members, latest) {
		if queried == collectorsPerAck+1 {
			break
		}
		queried++
		for _, p := range r.acksReceivedBy(ctx, members, id) {
			a := ackFromProto(p)
			if stored, known := acks[a.Instance]; !known || a.newerThan(&stored) {
				acks[a.Instance] = a
			}
		}
	}
	return acks
}

// acksReceivedBy returns the acknowledgements that one collector has received; nil
// if it does not respond.
func (r *Runner) acksReceivedBy(ctx context.Context, members []api.Member, id api.InstanceID) []*peerpb.Ack {
	request := &peerpb.AcknowledgeRequest{WantAll: true}
	if id == r.options.Instance {
		response, err := r.Acknowledge(ctx, request)
		if err != nil {
			return nil
		}
		return response.GetAcks()
	}
	for _, m := range members {
		if m.ID != id {
			continue
		}
		response, err := r.options.Clients.Client(m.Address).Acknowledge(ctx, request)
		if err != nil {
			return nil
		}
		return response.GetAcks()
	}
	return nil
}

// listRequiredInstances returns the instances that acceptance waits for: the
// reachable and the registered ones. It reads the registrations from the store,
// because only instances that watch the store know them. If the store does not
// respond, only the reachable instances are known.
func (r *Runner) listRequiredInstances(ctx context.Context) map[api.InstanceID]api.Member {
	required := make(map[api.InstanceID]api.Member)
	members := make(map[api.InstanceID]api.Member)
	for _, m := range r.options.Members() {
		members[m.ID] = m
		if m.State.Reachable() {
			required[m.ID] = m
		}
	}
	objects, _, err := r.options.Store.List(ctx, memberPrefix)
	if err != nil {
		return required
	}
	for _, object := range objects {
		var reg registration
		if json.Unmarshal(object.Value, &reg) != nil {
			continue
		}
		m, known := members[reg.Instance]
		if !known {
			m = api.Member{ID: reg.Instance, Half: reg.Half, Incarnation: reg.Incarnation}
		}
		if !m.State.Gone() {
			required[reg.Instance] = m
		}
	}
	return required
}

// InstanceBody is one entry of the member table.
type InstanceBody struct {
	Instance      api.InstanceID    `json:"instance"`
	Incarnation   uint64            `json:"incarnation"`
	State         string            `json:"state"`
	Address       string            `json:"address"`
	Region        api.Region        `json:"region"`
	FailureDomain api.FailureDomain `json:"failure_domain"`
	Half          api.Half          `json:"half"`
}

func (r *Runner) getInstances(w http.ResponseWriter, _ *http.Request) error {
	list := []InstanceBody{}
	for _, m := range r.options.Members() {
		list = append(list, InstanceBody{
			Instance: m.ID, Incarnation: m.Incarnation, State: m.State.String(), Address: m.Address,
			Region: m.Region, FailureDomain: m.FailureDomain, Half: m.Half,
		})
	}
	httpapi.WriteJSON(w, http.StatusOK, map[string]any{"instances": list})
	return nil
}
