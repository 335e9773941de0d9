package harness

import (
	"fmt"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// Model is the model of all engines of SmallFleet.
var Model = api.ModelRef{Model: "dream", Version: "1"}

// SmallFleet returns the options of a fleet in two regions, and the bearer token of
// its client account. The fleet has the given numbers of instances and engines and
// one service, all of half "west". Two thirds of the instances and engines are in
// fukuoka, the others in kagoshima.
func SmallFleet(name string, instances, engines int) (o Options, token string) {
	account, token := Account("pages", "west", api.PriorityInteractive)
	o = Options{
		Name: name, StorePlace: placeOf(0), RegionDelayMS: 8, Accounts: []api.Account{account},
	}
	for n := range instances {
		o.Instances = append(o.Instances, InstanceSpec{ID: fmt.Sprintf("instance-%d", n+1), Half: "west", Place: placeOf(n)})
	}
	for n := range engines {
		o.Endpoints = append(o.Endpoints, EngineSpec(fmt.Sprintf("engine-%d", n+1), placeOf(n)))
	}
	o.Endpoints = append(o.Endpoints, EndpointSpec{Endpoint: api.Endpoint{
		ID: "desk", Kind: api.KindService, Place: placeOf(0), Half: "west", Slots: 16, ChecksFence: true, OffersLookup: true,
	}})
	return o, token
}

// EngineSpec returns the specification of an engine of half "west" that produces
// 100 tokens per second for each generation of Model.
func EngineSpec(id string, p api.Place) EndpointSpec {
	return EndpointSpec{
		Endpoint: api.Endpoint{
			ID: api.EndpointID(id), Kind: api.KindEngine, Place: p, Half: "west",
			Models: []api.ModelRef{Model}, Slots: 8, ChecksFence: true,
		},
		Arguments: []string{"--token-interval", "10ms"},
	}
}

// placeOf returns the place of the n-th instance or engine. Places alternate
// between two failure domains of fukuoka and one of kagoshima.
func placeOf(n int) api.Place {
	return []api.Place{
		{Region: "fukuoka", FailureDomain: "fukuoka-a"},
		{Region: "fukuoka", FailureDomain: "fukuoka-b"},
		{Region: "kagoshima", FailureDomain: "kagoshima-a"},
	}[n%3]
}

// CallerAddresses returns the addresses of all instances for callers, the given
// instance first.
func (f *Fleet) CallerAddresses(first string) []string {
	addresses := []string{f.Instance(first).CallerAddress}
	for _, i := range f.Instances() {
		if i.Spec.ID != first {
			addresses = append(addresses, i.CallerAddress)
		}
	}
	return addresses
}
