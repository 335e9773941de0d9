package ticket

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/reason"
	"github.com/hibiscusstair/hibiscusstair/store"
)

// operatorTimeout limits the calls to the store and to peers for one request of
// an operator.
const operatorTimeout = 3 * time.Second

// Ticket states in the operator interface.
const (
	statePending  = "pending"
	stateAccepted = "accepted"
)

// Register adds the operator interface of tickets and instances to the mux.
func (r *Runner) Register(mux *http.ServeMux) {
	routes := map[string]func(http.ResponseWriter, *http.Request) error{
		"PUT /v1/tickets/{n}":           r.putTicket,
		"POST /v1/tickets/validate":     r.validateTicket,
		"GET /v1/tickets":               r.listTickets,
		"GET /v1/tickets/{n}":           r.getTicket,
		"GET /v1/diff":                  r.getDiff,
		"GET /v1/status":                r.getStatus,
		"GET /v1/instances":             r.getInstances,
		"POST /v1/instances/{id}/expel": r.postExpel,
	}
	for pattern, serve := range routes {
		mux.HandleFunc(pattern, r.authenticateOperator(serve))
	}
}

// authenticateOperator returns a handler that checks the operator's bearer
// token, calls serve and writes its error.
func (r *Runner) authenticateOperator(serve func(http.ResponseWriter, *http.Request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		credential := httpapi.CredentialSHA256(httpapi.BearerToken(request))
		err := error(reason.New(reason.Unauthenticated, "the operator's bearer token is missing or wrong"))
		if subtle.ConstantTimeCompare([]byte(credential), []byte(r.options.OperatorTokenSHA256)) == 1 {
			err = serve(w, request)
		}
		if err != nil {
			r.metrics.refused.Inc(reason.From(err).Reason)
			httpapi.WriteError(w, err)
		}
	}
}

// FindingsBody is the response to an invalid ticket.
type FindingsBody struct {
	httpapi.ErrorBody
	Findings []Finding `json:"findings"`
}

// TicketBody is the state of one ticket.
type TicketBody struct {
	Number uint64          `json:"number"`
	State  string          `json:"state"`
	Ticket json.RawMessage `json:"ticket,omitempty"`
}

// ticketState returns whether a written ticket is pending or accepted.
func ticketState(h *Head, number uint64) string {
	if number <= h.Accepted {
		return stateAccepted
	}
	return statePending
}

// writeFindings writes the response to an invalid ticket. It returns nil, so that
// handlers can return its result.
func (r *Runner) writeFindings(w http.ResponseWriter, findings []Finding) error {
	err := reason.New(reason.TicketInvalid, "the ticket has %d findings", len(findings))
	r.metrics.refused.Inc(reason.TicketInvalid)
	httpapi.WriteJSON(w, err.Reason.HTTPStatus(), FindingsBody{ErrorBody: httpapi.NewErrorBody(err), Findings: findings})
	return nil
}

func ticketNumberFromPath(request *http.Request) (uint64, error) {
	number, err := strconv.ParseUint(request.PathValue("n"), 10, 64)
	if err != nil || number == 0 {
		return 0, reason.New(reason.BadRequest, "%q is not a ticket number", request.PathValue("n")).WithField("n")
	}
	return number, nil
}

func (r *Runner) putTicket(w http.ResponseWriter, request *http.Request) error {
	number, err := ticketNumberFromPath(request)
	if err != nil {
		return err
	}
	raw, err := httpapi.ReadBody(w, request, r.options.MaxBodyBytes)
	if err != nil {
		return err
	}
	t, findings := Parse(raw)
	if len(findings) > 0 {
		return r.writeFindings(w, append(findings, r.validateAgainstLatest(t)...))
	}
	if t.Number != number {
		return r.writeFindings(w, []Finding{{Path: "$.number", Message: fmt.Sprintf("has to be %d as in the address", number)}})
	}
	result, err := r.Submit(request.Context(), raw, t)
	switch {
	case err != nil:
		return err
	case len(result.Findings) > 0:
		return r.writeFindings(w, result.Findings)
	case result.Err != nil:
		return result.Err
	}
	state := ticketState(&result.Head, number)
	status := http.StatusOK
	if state == statePending {
		status = http.StatusAccepted
	}
	httpapi.WriteJSON(w, status, TicketBody{Number: number, State: state})
	return nil
}

// validateAgainstLatest validates a ticket against the state after all written
// tickets are accepted.
func (r *Runner) validateAgainstLatest(t *Ticket) []Finding {
	view := r.view.Load()
	return Validate(t, view.stateAt(view.Head.Latest))
}

func (r *Runner) validateTicket(w http.ResponseWriter, request *http.Request) error {
	raw, err := httpapi.ReadBody(w, request, r.options.MaxBodyBytes)
	if err != nil {
		return err
	}
	t, findings := Parse(raw)
	if len(findings) == 0 || findings[0].Path != "$" {
		findings = append(findings, r.validateAgainstLatest(t)...)
	}
	if latest := r.Latest(); t.Number != 0 && t.Number <= latest {
		findings = append(findings, Finding{Path: "$.number", Message: fmt.Sprintf("has to be above %d, the latest ticket", latest)})
	}
	if len(findings) > 0 {
		return r.writeFindings(w, findings)
	}
	httpapi.WriteJSON(w, http.StatusOK, map[string]any{"valid": true, "number": t.Number})
	return nil
}

// TicketsBody is the list of tickets.
type TicketsBody struct {
	Latest   uint64         `json:"latest"`
	Accepted uint64         `json:"accepted"`
	Snapshot uint64         `json:"snapshot"` // highest ticket that the snapshot contains
	Tickets  []TicketBody   `json:"tickets"`
	Held     []HeldEndpoint `json:"held"`
}

func (r *Runner) listTickets(w http.ResponseWriter, _ *http.Request) error {
	head := r.view.Load().Head
	body := TicketsBody{
		Latest: head.Latest, Accepted: head.Accepted, Snapshot: head.Snapshot,
		Tickets: make([]TicketBody, 0, len(head.Tickets)), Held: append([]HeldEndpoint{}, head.Held...),
	}
	for _, number := range head.Tickets {
		body.Tickets = append(body.Tickets, TicketBody{Number: number, State: ticketState(&head, number)})
	}
	httpapi.WriteJSON(w, http.StatusOK, body)
	return nil
}

func (r *Runner) getTicket(w http.ResponseWriter, request *http.Request) error {
	number, err := ticketNumberFromPath(request)
	if err != nil {
		return err
	}
	view := r.view.Load()
	body := TicketBody{Number: number, State: ticketState(&view.Head, number)}
	if stored := view.Tickets[number]; stored != nil {
		body.Ticket = stored.raw
		httpapi.WriteJSON(w, http.StatusOK, body)
		return nil
	}
	if number > view.Head.Snapshot {
		return reason.New(reason.NotFound, "no ticket %d", number)
	}
	ctx, cancel := context.WithTimeout(request.Context(), operatorTimeout)
	defer cancel()
	object, err := r.options.Store.Get(ctx, ticketKey(number))
	if errors.Is(err, store.ErrNotFound) {
		return reason.New(reason.NotFound, "no ticket %d", number)
	}
	if err != nil {
		return reason.New(reason.StoreUnavailable, "ticket %d is only in the store, which does not answer", number)
	}
	body.Ticket = object.Value
	httpapi.WriteJSON(w, http.StatusOK, body)
	return nil
}

func (r *Runner) postExpel(w http.ResponseWriter, request *http.Request) error {
	id := api.InstanceID(request.PathValue("id"))
	if r.options.Expel == nil {
		return reason.New(reason.NotReady, "this instance cannot expel")
	}
	if err := r.options.Expel(request.Context(), id); err != nil {
		return err
	}
	httpapi.WriteJSON(w, http.StatusOK, map[string]any{"instance": id, "state": api.MemberExpelled.String()})
	return nil
}
