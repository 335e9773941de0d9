// Command demo runs a small fleet on loopback, kills an engine and an instance
// in mid-output, and shows what the callers saw.
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
	// bound ends a demo that hangs.
	bound = 50 * time.Second
	// faultAt is the number of tokens after which a fault strikes.
	faultAt   = 60
	maxTokens = 200
	orderKey  = "order-1"
)

// row is one line of the table.
type row struct{ request, promised, seen, resume, again, bytes string }

// demo collects the rows and what went wrong.
type demo struct {
	fleet  *harness.Fleet
	caller *harness.Caller
	rows   []row
	failed []error
}

func main() {
	ctx, cancel := context.WithTimeout(context.Background(), bound)
	defer cancel()
	if err := run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
	fmt.Println("every answer equals that of an unbroken engine; the order was booked once")
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
	fmt.Println("ticket 1 is in force")
	d := &demo{fleet: fleet, caller: &harness.Caller{Token: token, Instances: fleet.CallerAddresses("instance-1")}}
	d.lookup(ctx)
	d.order(ctx)
	d.generation(ctx, "generation", nil)
	d.generation(ctx, "generation, its engine is killed", harness.KillEngine)
	d.generation(ctx, "generation, its instance is killed", harness.KillInstance)
	d.booked()
	d.print()
	return errors.Join(d.failed...)
}

func (d *demo) fail(request string, err error) string {
	if err == nil {
		return ""
	}
	d.failed = append(d.failed, fmt.Errorf("%s: %w", request, err))
	return err.Error()
}

func (d *demo) lookup(ctx context.Context) {
	status, body, err := d.caller.Lookup(ctx, d.fleet.Instance("instance-1").CallerAddress, "parcel-3")
	if err == nil && status != 200 {
		err = fmt.Errorf("status %d: %s", status, body)
	}
	seen := strings.TrimSpace(body)
	if text := d.fail("lookup", err); text != "" {
		seen = text
	}
	d.rows = append(d.rows, row{"lookup", "the service's answer", seen, "-", "-", "-"})
}

// order sends one order twice, as a caller does that lost the answer.
func (d *demo) order(ctx context.Context) {
	var seen []string
	for _, instance := range []string{"instance-1", "instance-2"} {
		answer := d.caller.Order(ctx, d.fleet.Instance(instance).CallerAddress, orderKey, harness.OrderBody(orderKey))
		if answer.State != "done" {
			_ = d.fail("order", fmt.Errorf("status %d, state %q, reason %q", answer.Status, answer.State, answer.Reason))
		}
		seen = append(seen, answer.State)
	}
	d.rows = append(d.rows, row{"order, sent to two instances", "booked once", strings.Join(seen, ", "), "-", "-", "-"})
}

func (d *demo) booked() {
	bookings, err := d.fleet.Bookings()
	if err == nil && bookings[harness.OrderBody(orderKey)] != 1 {
		err = fmt.Errorf("booked %d times", bookings[harness.OrderBody(orderKey)])
	}
	seen := "booked once"
	if text := d.fail("book", err); text != "" {
		seen = text
	}
	d.rows = append(d.rows, row{"book of the service", "booked once", seen, "-", "-", "-"})
}

func (d *demo) generation(ctx context.Context, name string, fault harness.Fault) {
	g := harness.Generation{
		Key: fmt.Sprintf("page-%d", len(d.rows)), Model: harness.Model.Model, Version: harness.Model.Version,
		Prompt: "I walked up a stair of hibiscus", MaxTokens: maxTokens, Seed: int64(len(d.rows)),
	}
	open := func() []*harness.Stream { return []*harness.Stream{d.caller.Open(ctx, g)} }
	o := d.fleet.MeasureGenerations(ctx, open, faultAt, fault)
	seen := fmt.Sprintf("%d tokens, all equal", o.DeliveredTokens)
	if o.Reconnects > 0 {
		seen += fmt.Sprintf(", %d reconnect", o.Reconnects)
	}
	if text := d.fail(name, o.Err); text != "" {
		seen = text
	}
	resume := "-"
	if len(o.ResumeLatencies) > 0 {
		resume = o.ResumeLatencies[0].Round(time.Millisecond).String()
	}
	d.rows = append(d.rows, row{
		name, fmt.Sprintf("one whole answer of %d tokens", maxTokens), seen,
		resume, fmt.Sprint(o.RecomputedTokens), fmt.Sprint(o.CrossRegionBytes),
	})
}

func (d *demo) print() {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nrequest\tpromised\tseen\tresume latency\ttokens computed again\tbytes over the paid link")
	for _, r := range d.rows {
		fmt.Fprintln(w, strings.Join([]string{r.request, r.promised, r.seen, r.resume, r.again, r.bytes}, "\t"))
	}
	_ = w.Flush()
	fmt.Println("\nThe bytes are those between instances and endpoints of other regions, load polls included.")
}
