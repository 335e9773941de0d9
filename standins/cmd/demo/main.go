// Command demo runs a small fleet on loopback, kills an engine and an instance
// during a generation, and shows what the callers received.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/harness"
)

const (
	// demoTimeout ends a demo that hangs.
	demoTimeout = 50 * time.Second
	// tokensBeforeFault is the number of received tokens after which a fault is
	// injected.
	tokensBeforeFault = 60
	maxTokens         = 200
	orderKey          = "order-1"
)

// row is one line of the table.
type row struct{ request, expected, result, resumeLatency, recomputedTokens, crossRegionBytes string }

// demo runs the requests and collects the rows and the errors.
type demo struct {
	fleet  *harness.Fleet
	caller *harness.Caller
	rows   []row
	errs   []error
}

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	fmt.Println("every response equals that of an engine without failures; the order was booked once")
}

func run(ctx context.Context) error {
	options, token := harness.SmallFleet("demo", 3, 4)
	fmt.Println("building; starting a store, 4 engines, a service and 3 instances in 2 regions")
	fleet, err := harness.Start(ctx, options)
	if err != nil {
		return err
	}
	defer fleet.Close()
	fmt.Println("logs:", fleet.LogDirectory)
	if err := fleet.ApplyTicket(ctx, "instance-1", fleet.NextTicket()); err != nil {
		return err
	}
	fmt.Println("ticket 1 is active")
	d := &demo{fleet: fleet, caller: &harness.Caller{Token: token, InstanceAddresses: fleet.CallerAddresses("instance-1")}}
	d.lookup(ctx)
	d.order(ctx)
	d.generation(ctx, "generation", nil)
	d.generation(ctx, "generation whose engine is killed", harness.KillServingEngine)
	d.generation(ctx, "generation whose instance is killed", harness.KillServingInstance)
	d.checkBookings()
	d.print()
	return errors.Join(d.errs...)
}

// recordError records the error of a request, if any, and returns its text, which is
// empty without an error.
func (d *demo) recordError(request string, err error) string {
	if err == nil {
		return ""
	}
	d.errs = append(d.errs, fmt.Errorf("%s: %w", request, err))
	return err.Error()
}

func (d *demo) lookup(ctx context.Context) {
	status, body, err := d.caller.Lookup(ctx, d.fleet.Instance("instance-1").CallerAddress, "parcel-3")
	if err == nil && status != 200 {
		err = fmt.Errorf("status %d: %s", status, body)
	}
	result := strings.TrimSpace(body)
	if text := d.recordError("lookup", err); text != "" {
		result = text
	}
	d.rows = append(d.rows, row{"lookup", "the service's response", result, "-", "-", "-"})
}

// order sends one order twice, like a caller that did not receive the first response.
func (d *demo) order(ctx context.Context) {
	var result []string
	for _, instance := range []string{"instance-1", "instance-2"} {
		response := d.caller.Order(ctx, d.fleet.Instance(instance).CallerAddress, orderKey, harness.OrderBody(orderKey))
		if response.State != "done" {
			_ = d.recordError("order", fmt.Errorf("status %d, state %q, reason %q", response.Status, response.State, response.Reason))
		}
		result = append(result, response.State)
	}
	d.rows = append(d.rows, row{"order sent to two instances", "done, done", strings.Join(result, ", "), "-", "-", "-"})
}

// checkBookings checks that the service booked the order once.
func (d *demo) checkBookings() {
	bookings, err := d.fleet.Bookings()
	if err == nil && bookings[harness.OrderBody(orderKey)] != 1 {
		err = fmt.Errorf("booked %d times", bookings[harness.OrderBody(orderKey)])
	}
	result := "booked once"
	if text := d.recordError("bookings", err); text != "" {
		result = text
	}
	d.rows = append(d.rows, row{"bookings of the service", "booked once", result, "-", "-", "-"})
}

// generation runs one generation, injects the fault, if any, and compares the
// tokens with those of an engine without failures.
func (d *demo) generation(ctx context.Context, name string, fault harness.Fault) {
	g := harness.Generation{
		Key: fmt.Sprintf("page-%d", len(d.rows)), Model: harness.Model.Model, Version: harness.Model.Version,
		Prompt: "I walked up a stair of hibiscus", MaxTokens: maxTokens, Seed: int64(len(d.rows)),
	}
	open := func() []*harness.Stream { return []*harness.Stream{d.caller.Open(ctx, g)} }
	measurement := d.fleet.MeasureGenerations(ctx, open, tokensBeforeFault, fault)
	result := fmt.Sprintf("%d tokens, all as expected", measurement.DeliveredTokens)
	if measurement.Reconnects > 0 {
		result += fmt.Sprintf(", reconnects: %d", measurement.Reconnects)
	}
	if text := d.recordError(name, measurement.Err); text != "" {
		result = text
	}
	resumeLatency := "-"
	if len(measurement.ResumeLatencies) > 0 {
		resumeLatency = measurement.ResumeLatencies[0].Round(time.Millisecond).String()
	}
	d.rows = append(d.rows, row{
		name, fmt.Sprintf("one complete response of %d tokens", maxTokens), result,
		resumeLatency, fmt.Sprint(measurement.RecomputedTokens), fmt.Sprint(measurement.CrossRegionBytes),
	})
}

func (d *demo) print() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nrequest\texpected\tresult\tresume latency\trecomputed tokens\tcross-region bytes")
	for _, r := range d.rows {
		fmt.Fprintln(w, strings.Join([]string{r.request, r.expected, r.result, r.resumeLatency, r.recomputedTokens, r.crossRegionBytes}, "\t"))
	}
	_ = w.Flush()
	fmt.Println("\nCross-region bytes are the traffic between instances and endpoints of other regions, including load polls.")
}
