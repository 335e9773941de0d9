package faults_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/standins/harness"
)

// Both operators submit tickets with these numbers.
const (
	firstContestedTicket = 2
	lastContestedTicket  = 9
)

// operator submits tickets and records which ones were confirmed, which means that
// the submission was successful.
type operator struct {
	fleet     *testFleet
	rate      float64 // requests per second of the account, to which each ticket adds its number
	instance  func(number uint64) string
	confirmed map[uint64]bool
}

func (o *operator) ticket(number uint64) harness.Ticket {
	account := o.fleet.Options.Accounts[0]
	account.RequestsPerSecond = o.rate + float64(number)
	return harness.Ticket{Number: number, Accounts: []api.Account{account}}
}

func (o *operator) submit(number uint64) {
	status, body, err := o.fleet.PutTicket(o.fleet.ctx, o.instance(number), o.ticket(number))
	o.confirmed[number] = err == nil && status < http.StatusMultipleChoices
	GinkgoWriter.Println("operator", o.rate, "ticket", number, "status", status, string(body), err)
}

// submitConcurrently lets both operators submit each contested ticket number at the
// same time.
func submitConcurrently(first, second *operator) {
	for number := uint64(firstContestedTicket); number <= lastContestedTicket; number++ {
		var both sync.WaitGroup
		both.Go(func() { first.submit(number) })
		both.Go(func() { second.submit(number) })
		both.Wait()
	}
}

// watchAcceptedTickets polls the instances until the context ends and returns each
// case in which the number of the accepted ticket of an instance decreased.
func watchAcceptedTickets(ctx context.Context, f *testFleet) (regressions []string) {
	highest := make(map[string]uint64)
	for ctx.Err() == nil {
		for _, i := range f.Instances() {
			// A paused instance doesn't respond and must not delay the others.
			requestCtx, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			status, err := f.Status(requestCtx, i.Spec.ID)
			cancel()
			if err != nil || !status.TicketsRead {
				continue
			}
			if status.AcceptedTicket < highest[i.Spec.ID] {
				regressions = append(regressions, fmt.Sprintf("%s: %d after %d", i.Spec.ID, status.AcceptedTicket, highest[i.Spec.ID]))
			}
			highest[i.Spec.ID] = max(highest[i.Spec.ID], status.AcceptedTicket)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return regressions
}

// accountRate returns the requests per second of the account in a ticket, or 0 if
// the instance doesn't have the ticket.
func accountRate(f *testFleet, instance string, number uint64) float64 {
	GinkgoHelper()
	url := fmt.Sprintf("http://%s/v1/tickets/%d", f.Instance(instance).OperatorAddress, number)
	status, body, err := harness.Call(f.ctx, http.MethodGet, url, harness.OperatorToken, nil)
	Expect(err).NotTo(HaveOccurred())
	if status == http.StatusNotFound {
		return 0
	}
	Expect(status).To(Equal(http.StatusOK), string(body))
	var response struct {
		Ticket harness.Ticket `json:"ticket"`
	}
	Expect(json.Unmarshal(body, &response)).To(Succeed())
	Expect(response.Ticket.Accounts).To(HaveLen(1), string(body))
	return response.Ticket.Accounts[0].RequestsPerSecond
}

var _ = Describe("Tickets", func() {
	// Guards against two tickets with the same number, a confirmed ticket that
	// isn't accepted by every instance, and an instance that returns to an older
	// configuration.
	It("are accepted in order while two operators submit them concurrently and instances fail", func() {
		f := startFleet(3, 2, nil)
		ctx, stop := context.WithCancel(f.ctx)
		regressions := make(chan []string, 1)
		go func() { regressions <- watchAcceptedTickets(ctx, f) }()

		first := &operator{fleet: f, rate: 1000, confirmed: make(map[uint64]bool), instance: func(uint64) string { return "instance-1" }}
		second := &operator{fleet: f, rate: 2000, confirmed: make(map[uint64]bool), instance: func(n uint64) string {
			return fmt.Sprintf("instance-%d", 2+n%2)
		}}
		var all sync.WaitGroup
		all.Go(func() { submitConcurrently(first, second) })
		all.Go(func() {
			f.Instance("instance-3").Pause()
			time.Sleep(2 * time.Second)
			f.Instance("instance-3").Continue()
		})
		time.Sleep(100 * time.Millisecond)
		Expect(f.KillInstance(f.ctx, "instance-2")).To(Succeed())
		all.Wait()
		Expect(f.StartInstance(f.ctx, f.Instance("instance-2").Spec)).To(Succeed())

		status, err := f.Status(f.ctx, "instance-1")
		Expect(err).NotTo(HaveOccurred())
		Expect(f.WaitTicketAccepted(f.ctx, status.LatestTicket)).To(Succeed())
		stop()
		Expect(<-regressions).To(BeEmpty())
		confirmed := 0
		for number := uint64(firstContestedTicket); number <= lastContestedTicket; number++ {
			Expect(first.confirmed[number] && second.confirmed[number]).To(BeFalse(), "ticket %d", number)
			want := accountRate(f, "instance-1", number)
			Expect(accountRate(f, "instance-2", number)).To(Equal(want), "ticket %d", number)
			Expect(accountRate(f, "instance-3", number)).To(Equal(want), "ticket %d", number)
			for _, o := range []*operator{first, second} {
				if o.confirmed[number] {
					confirmed++
					Expect(want).To(Equal(o.ticket(number).Accounts[0].RequestsPerSecond), "ticket %d", number)
				}
			}
		}
		Expect(confirmed).To(BeNumerically(">", 0))
	})
})
