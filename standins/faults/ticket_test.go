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

const (
	firstRace = 2
	lastRace  = 9
)

// operator issues tickets and keeps which were confirmed.
type operator struct {
	b         *bench
	rate      float64 // makes the tickets of two operators differ
	instance  func(number uint64) string
	confirmed map[uint64]bool
}

func (o *operator) ticket(number uint64) harness.Ticket {
	account := o.b.Options.Accounts[0]
	account.RequestsPerSecond = o.rate + float64(number)
	return harness.Ticket{Number: number, Accounts: []api.Account{account}}
}

func (o *operator) issue(number uint64) {
	status, answer, err := o.b.PutTicket(o.b.ctx, o.instance(number), o.ticket(number))
	o.confirmed[number] = err == nil && status < http.StatusMultipleChoices
	GinkgoWriter.Println("operator", o.rate, "ticket", number, "status", status, string(answer), err)
}

// race lets both operators issue each number at the same time.
func race(first, second *operator) {
	for number := uint64(firstRace); number <= lastRace; number++ {
		var both sync.WaitGroup
		both.Go(func() { first.issue(number) })
		both.Go(func() { second.issue(number) })
		both.Wait()
	}
}

// watchAccepted reports each instance whose accepted ticket went back.
func watchAccepted(ctx context.Context, b *bench) (reverts []string) {
	highest := make(map[string]uint64)
	for ctx.Err() == nil {
		for _, i := range b.Instances() {
			// A frozen instance doesn't answer and must not hold up the others.
			short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			status, err := b.Status(short, i.Spec.ID)
			cancel()
			if err != nil || !status.Ready {
				continue
			}
			if status.Accepted < highest[i.Spec.ID] {
				reverts = append(reverts, fmt.Sprintf("%s: %d after %d", i.Spec.ID, status.Accepted, highest[i.Spec.ID]))
			}
			highest[i.Spec.ID] = max(highest[i.Spec.ID], status.Accepted)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return reverts
}

// rateOf returns the rate that a ticket gives to the account, 0 if the instance
// doesn't have the ticket.
func rateOf(b *bench, instance string, number uint64) float64 {
	GinkgoHelper()
	url := fmt.Sprintf("http://%s/v1/tickets/%d", b.Instance(instance).OperatorAddress, number)
	status, body, err := harness.Call(b.ctx, http.MethodGet, url, harness.OperatorToken, nil)
	Expect(err).NotTo(HaveOccurred())
	if status == http.StatusNotFound {
		return 0
	}
	Expect(status).To(Equal(http.StatusOK), string(body))
	var answer struct {
		Ticket harness.Ticket `json:"ticket"`
	}
	Expect(json.Unmarshal(body, &answer)).To(Succeed())
	Expect(answer.Ticket.Accounts).To(HaveLen(1), string(body))
	return answer.Ticket.Accounts[0].RequestsPerSecond
}

var _ = Describe("Tickets", func() {
	// Guards against two tickets of one number, a confirmed ticket that isn't in
	// force everywhere, and a configuration that goes back.
	It("keep their order while two operators race and instances fail", func() {
		b := start(3, 2, nil)
		ctx, stop := context.WithCancel(b.ctx)
		watched := make(chan []string, 1)
		go func() { watched <- watchAccepted(ctx, b) }()

		first := &operator{b: b, rate: 1000, confirmed: make(map[uint64]bool), instance: func(uint64) string { return "instance-1" }}
		second := &operator{b: b, rate: 2000, confirmed: make(map[uint64]bool), instance: func(n uint64) string {
			return fmt.Sprintf("instance-%d", 2+n%2)
		}}
		var all sync.WaitGroup
		all.Go(func() { race(first, second) })
		all.Go(func() {
			b.Instance("instance-3").Pause()
			time.Sleep(2 * time.Second)
			b.Instance("instance-3").Continue()
		})
		time.Sleep(100 * time.Millisecond)
		Expect(b.KillInstance(b.ctx, "instance-2")).To(Succeed())
		all.Wait()
		Expect(b.StartInstance(b.ctx, b.Instance("instance-2").Spec)).To(Succeed())

		status, err := b.Status(b.ctx, "instance-1")
		Expect(err).NotTo(HaveOccurred())
		Expect(b.WaitTicketAccepted(b.ctx, status.Latest)).To(Succeed())
		stop()
		Expect(<-watched).To(BeEmpty())
		confirmed := 0
		for number := uint64(firstRace); number <= lastRace; number++ {
			Expect(first.confirmed[number] && second.confirmed[number]).To(BeFalse(), "ticket %d", number)
			want := rateOf(b, "instance-1", number)
			Expect(rateOf(b, "instance-2", number)).To(Equal(want), "ticket %d", number)
			Expect(rateOf(b, "instance-3", number)).To(Equal(want), "ticket %d", number)
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
