package harness

import (
	"fmt"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// Model is the model of all engines of Small.
var Model = api.ModelRef{Model: "dream", Version: "1"}

// SmallFleet returns a fleet in two regions: the given number of instances, engines
// and one service, all of half "west", and one account. Two thirds of the
// instances and engines are in fukuoka.
func SmallFleet(name string, instances, engines int) (o Options, token string) {
	account, token := Account("pages", "west", api.PriorityInteractive)
	o = Options{
		Name: name, StorePlace: place(0), RegionDelayMS: 8, Accounts: []api.Account{account},
	}
	for n := range instances {
		o.Instances = append(o.Instances, InstanceSpec{ID: fmt.Sprintf("instance-%d", n+1), Half: "west", Place: place(n)})
	}
	for n := range engines {
		o.Endpoints = append(o.Endpoints, Engine(fmt.Sprintf("engine-%d", n+1), place(n)))
	}
	o.Endpoints = append(o.Endpoints, EndpointSpec{Endpoint: api.Endpoint{
		ID: "desk", Kind: api.KindService, Place: place(0), Half: "west", Slots: 16, ChecksFence: true, OffersLookup: true,
	}})
	return o, token
}

// Engine returns an engine of half "west" with the model and 100 tokens per
// second.
func Engine(id string, p api.Place) EndpointSpec {
	return EndpointSpec{
		Endpoint: api.Endpoint{
			ID: api.EndpointID(id), Kind: api.KindEngine, Place: p, Half: "west",
			Models: []api.ModelRef{Model}, Slots: 8, ChecksFence: true,
		},
		Arguments: []string{"--token-interval", "10ms"},
	}
}

// place spreads over two failure domains of fukuoka and one of kagoshima.
func place(n int) api.Place {
	return []api.Place{
		{Region: "fukuoka", FailureDomain: "fukuoka-a"},
		{Region: "fukuoka", FailureDomain: "fukuoka-b"},
		{Region: "kagoshima", FailureDomain: "kagoshima-a"},
	}[n%3]
}

// CallerAddresses returns the caller addresses, beginning with the given instance.
func (f *Fleet) CallerAddresses(first string) []string {
	addresses := []string{f.Instance(first).CallerAddress}
	for _, i := range f.Instances() {
		if i.Spec.ID != first {
			addresses = append(addresses, i.CallerAddress)
		}
	}
	return addresses
}
