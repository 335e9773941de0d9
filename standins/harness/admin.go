package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/standins/engine"
	"github.com/hibiscusstair/hibiscusstair/standins/service"
	"github.com/hibiscusstair/hibiscusstair/standins/store"
)

// adminTimeout is the timeout of calls to stand-ins and operator interfaces.
const adminTimeout = 5 * time.Second

// Call sends a request with a JSON body, or without a body if it is nil, and
// returns the status and the body of the response. With an empty token it sends no
// Authorization header. The timeout is adminTimeout.
func Call(ctx context.Context, method, url, token string, body any) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	text, err := json.Marshal(body)
	if err != nil {
		return 0, nil, err
	}
	if body == nil {
		text = nil
	}
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(text))
	if err != nil {
		return 0, nil, err
	}
	if token != "" {
		request.Header.Set("Authorization", "Bearer "+token)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	return response.StatusCode, responseBody, err
}

func post(ctx context.Context, url string, body any) error {
	status, responseBody, err := Call(ctx, http.MethodPost, url, "", body)
	if err == nil && status >= http.StatusMultipleChoices {
		err = fmt.Errorf("harness: POST %s: status %d: %s", url, status, responseBody)
	}
	return err
}

func getJSON(ctx context.Context, url, token string, into any) error {
	status, responseBody, err := Call(ctx, http.MethodGet, url, token, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("harness: GET %s: status %d: %s", url, status, responseBody)
	}
	return json.Unmarshal(responseBody, into)
}

// putInstanceListEntry adds or updates an instance in the platform's list of
// instances.
func (f *Fleet) putInstanceListEntry(ctx context.Context, i *Instance, leaving bool) error {
	entry := store.Instance{
		ID: i.Spec.ID, Address: i.PeerAddress, Region: string(i.Spec.Region),
		FailureDomain: string(i.Spec.FailureDomain), Leaving: leaving,
	}
	return post(ctx, f.StoreURL+"/admin/instances", map[string]any{"instances": []store.Instance{entry}})
}

// RemoveFromInstanceList removes an instance from the platform's list of instances.
func (f *Fleet) RemoveFromInstanceList(ctx context.Context, id string) error {
	return post(ctx, f.StoreURL+"/admin/instances", map[string]any{"remove": []string{id}})
}

// TerminateInstance sends SIGTERM and marks the instance as leaving in the
// platform's list of instances.
func (f *Fleet) TerminateInstance(ctx context.Context, id string) error {
	i := f.Instance(id)
	i.Terminate()
	return f.putInstanceListEntry(ctx, i, true)
}

// SetStoreFaults replaces the faults that the store injects.
func (f *Fleet) SetStoreFaults(ctx context.Context, faults store.Faults) error {
	return post(ctx, f.StoreURL+"/admin/faults", faults)
}

// StoreCallCounts returns the number of calls to the store by kind.
func (f *Fleet) StoreCallCounts(ctx context.Context) (map[string]uint64, error) {
	calls := make(map[string]uint64)
	return calls, getJSON(ctx, f.StoreURL+"/admin/calls", "", &calls)
}

// SetServiceFaults replaces the faults that a service injects.
func (f *Fleet) SetServiceFaults(ctx context.Context, id string, faults service.Faults) error {
	return post(ctx, "http://"+f.Endpoint(id).DirectAddress+"/admin/faults", faults)
}

// Bookings returns the number of bookings at all services by the body of the order.
func (f *Fleet) Bookings() (map[string]int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	count := make(map[string]int)
	for _, e := range f.endpoints {
		if e.BookPath == "" {
			continue
		}
		book, err := service.ReadBookingLog(e.BookPath)
		if err != nil {
			return nil, err
		}
		for _, entry := range book {
			count[entry.Body] += entry.Bookings
		}
	}
	return count, nil
}

// EngineStats returns the counters of an engine since its start.
func (f *Fleet) EngineStats(ctx context.Context, id string) (stats engine.Stats, err error) {
	err = getJSON(ctx, "http://"+f.Endpoint(id).DirectAddress+"/admin/stats", "", &stats)
	return stats, err
}

// Ticket is the body of a ticket that changes endpoints and client accounts.
type Ticket struct {
	Number          uint64           `json:"number"`
	Endpoints       []api.Endpoint   `json:"endpoints,omitempty"`
	RemoveEndpoints []api.EndpointID `json:"remove_endpoints,omitempty"`
	Accounts        []api.Account    `json:"accounts,omitempty"`
	RemoveAccounts  []api.AccountID  `json:"remove_accounts,omitempty"`
}

// NextTicket returns a ticket with the next number that contains all client
// accounts and endpoints of the options.
func (f *Fleet) NextTicket() Ticket {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastTicketNumber++
	t := Ticket{Number: f.lastTicketNumber, Accounts: f.Options.Accounts}
	for _, spec := range f.Options.Endpoints {
		t.Endpoints = append(t.Endpoints, f.endpoints[string(spec.ID)].Spec.Endpoint)
	}
	return t
}

// PutTicket submits a ticket to the operator interface of one instance and returns
// the status and the body of the response.
func (f *Fleet) PutTicket(ctx context.Context, instanceID string, t Ticket) (int, []byte, error) {
	url := "http://" + f.Instance(instanceID).OperatorAddress + "/v1/tickets/" + strconv.FormatUint(t.Number, 10)
	return Call(ctx, http.MethodPut, url, OperatorToken, t)
}

// RunCtl runs hibiscusctl against an instance and returns its output.
func (f *Fleet) RunCtl(ctx context.Context, instanceID string, arguments ...string) (string, error) {
	all := append([]string{"--server", f.Instance(instanceID).OperatorAddress, "--token", OperatorToken}, arguments...)
	output, err := exec.CommandContext(ctx, f.binaryPath("hibiscusctl"), all...).CombinedOutput()
	if err != nil {
		err = fmt.Errorf("hibiscusctl %s: %w: %s", strings.Join(arguments, " "), err, output)
	}
	return string(output), err
}

// ApplyTicket applies a ticket with hibiscusctl and waits until every running
// instance reports it as accepted and is ready.
func (f *Fleet) ApplyTicket(ctx context.Context, instanceID string, t Ticket) error {
	text, err := json.MarshalIndent(t, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(f.LogDirectory, fmt.Sprintf("ticket-%d.json", t.Number))
	if err := os.WriteFile(file, text, 0o644); err != nil {
		return err
	}
	if err := f.waitTicketsRead(ctx); err != nil {
		return err
	}
	if _, err := f.RunCtl(ctx, instanceID, "apply", "--wait", "7s", file); err != nil {
		return err
	}
	// The ticket is accepted now, but each instance learns this at another time.
	if err := f.WaitTicketAccepted(ctx, t.Number); err != nil {
		return err
	}
	return f.WaitReady(ctx)
}

// Status is the part of an instance's status that the harness reads.
type Status struct {
	// TicketsRead is true when the instance has read the tickets from the store,
	// even if there are none. LatestTicket and AcceptedTicket are ticket numbers.
	TicketsRead    bool   `json:"ready"`
	LatestTicket   uint64 `json:"latest"`
	AcceptedTicket uint64 `json:"accepted"`
}

// Status returns the status of an instance.
func (f *Fleet) Status(ctx context.Context, instanceID string) (status Status, err error) {
	err = getJSON(ctx, "http://"+f.Instance(instanceID).OperatorAddress+"/v1/status", OperatorToken, &status)
	return status, err
}

// ticketAccepted reports whether the latest accepted ticket at the instance has at
// least this number.
func (f *Fleet) ticketAccepted(ctx context.Context, i *Instance, number uint64) (bool, error) {
	status, err := f.Status(ctx, i.Spec.ID)
	return err == nil && status.AcceptedTicket >= number, err
}

// waitTicketsRead waits until every running instance has read the tickets.
func (f *Fleet) waitTicketsRead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, i := range f.Instances() {
		for i.Alive() {
			status, err := f.Status(ctx, i.Spec.ID)
			if err == nil && status.TicketsRead {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("harness: instance %s has not read the tickets: %w", i.Spec.ID, errors.Join(err, ctx.Err()))
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// WaitTicketAccepted waits until every running instance reports the ticket as
// accepted, or until the context ends.
func (f *Fleet) WaitTicketAccepted(ctx context.Context, number uint64) error {
	for _, i := range f.Instances() {
		for i.Alive() {
			done, err := f.ticketAccepted(ctx, i, number)
			if done {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("harness: ticket %d is not accepted at %s: %w", number, i.Spec.ID, errors.Join(err, ctx.Err()))
			}
			time.Sleep(pollInterval / 2)
		}
	}
	return nil
}

// WaitReady waits until every running instance returns status 200 for /readyz.
func (f *Fleet) WaitReady(ctx context.Context) error {
	var errs []error
	for _, i := range f.Instances() {
		if i.Alive() {
			errs = append(errs, i.waitUntilOK(ctx, "http://"+i.OperatorAddress+"/readyz"))
		}
	}
	return errors.Join(errs...)
}

// Instances returns all instances that were started, in the order of the options.
func (f *Fleet) Instances() []*Instance {
	var all []*Instance
	for _, spec := range f.Options.Instances {
		if i := f.Instance(spec.ID); i != nil {
			all = append(all, i)
		}
	}
	return all
}

// Metrics returns the metrics of one instance. The keys are metric names with their
// labels.
func (f *Fleet) Metrics(ctx context.Context, instanceID string) (map[string]float64, error) {
	status, text, err := Call(ctx, http.MethodGet, "http://"+f.Instance(instanceID).OperatorAddress+"/metrics", "", nil)
	if err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("harness: metrics of %s: status %d: %w", instanceID, status, err)
	}
	values := make(map[string]float64)
	for line := range strings.Lines(string(text)) {
		name, value, found := strings.Cut(strings.TrimSpace(line), " ")
		if number, err := strconv.ParseFloat(value, 64); found && err == nil && !strings.HasPrefix(name, "#") {
			values[name] = number
		}
	}
	return values, nil
}

// CrossRegionBytes returns the number of bytes that the endpoint proxies forwarded
// between instances and endpoints of different regions, in both directions.
func (f *Fleet) CrossRegionBytes() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	var total uint64
	for _, e := range f.endpoints {
		for source, bytes := range e.Proxy.Stats().Bytes {
			i := f.instances[source]
			if i != nil && i.Spec.Region != e.Spec.Region {
				total += bytes.Up + bytes.Down
			}
		}
	}
	return total
}
