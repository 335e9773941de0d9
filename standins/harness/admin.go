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

// adminTimeout bounds calls to stand-ins and operator interfaces.
const adminTimeout = 5 * time.Second

// Call sends a JSON request and returns status and body.
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
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}

func post(ctx context.Context, url string, body any) error {
	status, answer, err := Call(ctx, http.MethodPost, url, "", body)
	if err == nil && status >= http.StatusMultipleChoices {
		err = fmt.Errorf("harness: %s: status %d: %s", url, status, answer)
	}
	return err
}

func getJSON(ctx context.Context, url, token string, into any) error {
	status, answer, err := Call(ctx, http.MethodGet, url, token, nil)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("harness: %s: status %d: %s", url, status, answer)
	}
	return json.Unmarshal(answer, into)
}

func (f *Fleet) list(ctx context.Context, i *Instance, leaving bool) error {
	entry := store.Instance{
		ID: i.Spec.ID, Address: i.PeerAddress, Region: string(i.Spec.Region),
		FailureDomain: string(i.Spec.FailureDomain), Leaving: leaving,
	}
	return post(ctx, f.StoreURL+"/admin/instances", map[string]any{"instances": []store.Instance{entry}})
}

// RemoveFromInstanceList takes an instance off the platform's list.
func (f *Fleet) RemoveFromInstanceList(ctx context.Context, id string) error {
	return post(ctx, f.StoreURL+"/admin/instances", map[string]any{"remove": []string{id}})
}

// TerminateInstance sends SIGTERM and marks the instance as leaving.
func (f *Fleet) TerminateInstance(ctx context.Context, id string) error {
	i := f.Instance(id)
	i.Terminate()
	return f.list(ctx, i, true)
}

// SetStoreFaults replaces the store's faults.
func (f *Fleet) SetStoreFaults(ctx context.Context, faults store.Faults) error {
	return post(ctx, f.StoreURL+"/admin/faults", faults)
}

// StoreCalls returns the number of calls to the store by kind.
func (f *Fleet) StoreCalls(ctx context.Context) (map[string]uint64, error) {
	calls := make(map[string]uint64)
	return calls, getJSON(ctx, f.StoreURL+"/admin/calls", "", &calls)
}

// SetServiceFaults replaces a service's faults.
func (f *Fleet) SetServiceFaults(ctx context.Context, id string, faults service.Faults) error {
	return post(ctx, "http://"+f.Endpoint(id).DirectAddress+"/admin/faults", faults)
}

// Bookings counts the bookings of all services by the order's body.
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

// EngineStats returns the work of an engine since its start.
func (f *Fleet) EngineStats(ctx context.Context, id string) (stats engine.Stats, err error) {
	err = getJSON(ctx, "http://"+f.Endpoint(id).DirectAddress+"/admin/stats", "", &stats)
	return stats, err
}

// Ticket is the body of a change ticket.
type Ticket struct {
	Number          uint64           `json:"number"`
	Endpoints       []api.Endpoint   `json:"endpoints,omitempty"`
	RemoveEndpoints []api.EndpointID `json:"remove_endpoints,omitempty"`
	Accounts        []api.Account    `json:"accounts,omitempty"`
	RemoveAccounts  []api.AccountID  `json:"remove_accounts,omitempty"`
}

// NextTicket returns a ticket with the next number and the whole state of the
// fleet as it was started.
func (f *Fleet) NextTicket() Ticket {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ticket++
	t := Ticket{Number: f.ticket, Accounts: f.Options.Accounts}
	for _, spec := range f.Options.Endpoints {
		t.Endpoints = append(t.Endpoints, f.endpoints[string(spec.ID)].Spec.Endpoint)
	}
	return t
}

// PutTicket submits a ticket over the operator interface of one instance.
func (f *Fleet) PutTicket(ctx context.Context, instance string, t Ticket) (int, []byte, error) {
	url := "http://" + f.Instance(instance).OperatorAddress + "/v1/tickets/" + strconv.FormatUint(t.Number, 10)
	return Call(ctx, http.MethodPut, url, OperatorToken, t)
}

// RunCtl runs hibiscusctl against an instance and returns what it printed.
func (f *Fleet) RunCtl(ctx context.Context, instance string, arguments ...string) (string, error) {
	all := append([]string{"--server", f.Instance(instance).OperatorAddress, "--token", OperatorToken}, arguments...)
	output, err := exec.CommandContext(ctx, f.binary("hibiscusctl"), all...).CombinedOutput()
	if err != nil {
		err = fmt.Errorf("hibiscusctl %s: %w: %s", strings.Join(arguments, " "), err, output)
	}
	return string(output), err
}

// ApplyTicket puts a ticket in force with hibiscusctl and waits until every instance
// is ready.
func (f *Fleet) ApplyTicket(ctx context.Context, instance string, t Ticket) error {
	text, err := json.MarshalIndent(t, "", "  ")
	if err != nil {
		return err
	}
	file := filepath.Join(f.Directory, fmt.Sprintf("ticket-%d.json", t.Number))
	if err := os.WriteFile(file, text, 0o644); err != nil {
		return err
	}
	if err := f.waitRead(ctx); err != nil {
		return err
	}
	if _, err := f.RunCtl(ctx, instance, "apply", "--wait", "7s", file); err != nil {
		return err
	}
	// The ticket is accepted; instances learn that one after the other.
	if err := f.WaitTicketAccepted(ctx, t.Number); err != nil {
		return err
	}
	return f.WaitReady(ctx)
}

// ExitError is the part of an instance's status that the harness reads.
type Status struct {
	// Ready says that the instance has read the tickets, if only that there
	// are none.
	Ready    bool   `json:"ready"`
	Latest   uint64 `json:"latest"`
	Accepted uint64 `json:"accepted"`
}

// ExitError asks an instance for its status.
func (f *Fleet) Status(ctx context.Context, instance string) (status Status, err error) {
	err = getJSON(ctx, "http://"+f.Instance(instance).OperatorAddress+"/v1/status", OperatorToken, &status)
	return status, err
}

// inForce asks an instance whether a ticket is in force.
func (f *Fleet) inForce(ctx context.Context, i *Instance, number uint64) (bool, error) {
	status, err := f.Status(ctx, i.Spec.ID)
	return err == nil && status.Accepted >= number, err
}

// waitRead waits until every live instance has read the tickets.
func (f *Fleet) waitRead(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyBound)
	defer cancel()
	for _, i := range f.Instances() {
		for i.Alive() {
			status, err := f.Status(ctx, i.Spec.ID)
			if err == nil && status.Ready {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("harness: %s has not read the tickets: %w", i.Spec.ID, errors.Join(err, ctx.Err()))
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// WaitTicketAccepted waits until every live instance reports the ticket as in force.
func (f *Fleet) WaitTicketAccepted(ctx context.Context, number uint64) error {
	for _, i := range f.Instances() {
		for i.Alive() {
			done, err := f.inForce(ctx, i, number)
			if done {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("harness: ticket %d is not in force at %s: %w", number, i.Spec.ID, errors.Join(err, ctx.Err()))
			}
			time.Sleep(pollInterval / 2)
		}
	}
	return nil
}

// WaitReady waits until every live instance answers /readyz with 200.
func (f *Fleet) WaitReady(ctx context.Context) error {
	var errs []error
	for _, i := range f.Instances() {
		if i.Alive() {
			errs = append(errs, i.waitOK(ctx, "http://"+i.OperatorAddress+"/readyz"))
		}
	}
	return errors.Join(errs...)
}

// Instances returns all instances in the order of the options.
func (f *Fleet) Instances() []*Instance {
	var all []*Instance
	for _, spec := range f.Options.Instances {
		if i := f.Instance(spec.ID); i != nil {
			all = append(all, i)
		}
	}
	return all
}

// Metrics returns the scrape of one instance by metric with its labels.
func (f *Fleet) Metrics(ctx context.Context, instance string) (map[string]float64, error) {
	status, text, err := Call(ctx, http.MethodGet, "http://"+f.Instance(instance).OperatorAddress+"/metrics", "", nil)
	if err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("harness: metrics of %s: status %d: %w", instance, status, err)
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

// CrossRegionBytes returns what passed between instances and endpoints of other
// regions, in both directions.
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
