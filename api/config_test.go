package api_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscusstair/hibiscusstair/api"
)

func TestAPI(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "api")
}

var _ = Describe("Config", func() {
	model := api.ModelRef{Model: "narrator", Version: "3"}
	endpoint := func(half api.Half) api.Endpoint {
		return api.Endpoint{ID: "e1", Kind: api.KindEngine, Half: half, Models: []api.ModelRef{model}}
	}
	config := func() *api.Config {
		return &api.Config{Endpoints: map[api.EndpointID]api.Endpoint{"e1": endpoint("a")}}
	}

	// Guards against requests of one half on the endpoints of the other.
	It("allows requests only to the half that owns the endpoint", func() {
		Expect(config().MayServe("e1", "a", "x", model)).To(BeTrue())
		Expect(config().MayServe("e1", "b", "x", model)).To(BeFalse())
		Expect(config().MayServe("e2", "a", "x", model)).To(BeFalse())
		var none *api.Config
		Expect(none.MayDispatch("e1", "a")).To(BeFalse())
	})

	// Guards against new requests on an endpoint between the writing of a ticket
	// and its acceptance, and against a check of only the latest pending ticket.
	It("applies the restrictions of every pending ticket", func() {
		moved, stays := endpoint("b"), endpoint("a")
		c := config()
		c.Pending = []api.PendingTicket{
			{Ticket: 2, Endpoints: map[api.EndpointID]*api.Endpoint{"e1": &moved}},
			{Ticket: 3, Endpoints: map[api.EndpointID]*api.Endpoint{"e1": &stays}},
		}
		Expect(c.MayDispatch("e1", "a")).To(BeFalse())
		Expect(c.MayDispatch("e1", "b")).To(BeFalse())
	})

	// Guards against requests that a pending ticket no longer allows.
	It("applies pending removals and pending changes of models and accounts", func() {
		other, reserved := endpoint("a"), endpoint("a")
		other.Models = []api.ModelRef{{Model: "narrator", Version: "4"}}
		reserved.Accounts = []api.AccountID{"y"}
		for _, next := range []*api.Endpoint{nil, &other, &reserved} {
			c := config()
			c.Pending = []api.PendingTicket{{Ticket: 2, Endpoints: map[api.EndpointID]*api.Endpoint{"e1": next}}}
			Expect(c.MayServe("e1", "a", "x", model)).To(BeFalse())
		}
	})

	// Guards against requests of the new half while the old half still runs some.
	It("allows no requests on a held endpoint", func() {
		c := config()
		c.Held = map[api.EndpointID]bool{"e1": true}
		Expect(c.MayServe("e1", "a", "x", model)).To(BeFalse())
	})
})
