package gateway

import (
	"context"
	"time"

	"github.com/twitchtv/twirp"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/fleet"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/store"
)

// fleetState tells the fleet slice how far the configuration is. Versions of
// the operator's configuration take the place of tickets: the store's answer
// puts a version into force, so nothing waits for acknowledgements.
type fleetState struct{ *Gateway }

var _ fleet.TicketState = fleetState{}

func (s fleetState) Ready() bool                 { return s.table.Load() != nil }
func (s fleetState) HeadVersion() uint64         { return s.table.Version() }
func (s fleetState) Latest() uint64              { return s.table.Version() }
func (s fleetState) Accepted() uint64            { return s.table.Version() }
func (s fleetState) Acknowledged() uint64        { return s.table.Version() }
func (s fleetState) StoreContact() time.Duration { return s.follower.TableContact().LastResponse() }
func (s fleetState) ExpelledIncarnation() uint64 { return 0 }

func (s fleetState) Registrations() map[api.InstanceID]uint64 { return nil }

// NotifyNewerHead does nothing: the configuration comes through the relay, which also
// says how old it is.
func (s fleetState) NotifyNewerHead(string, uint64) {}

// noRegistrations stands in for the store of the fleet slice. Nobody waits for
// an instance, so instances need no registrations and cost the store no calls.
type noRegistrations struct{}

var _ store.API = noRegistrations{}

func (noRegistrations) Get(context.Context, string) (store.Object, error) {
	return store.Object{}, store.ErrNotFound
}

func (noRegistrations) Put(context.Context, string, []byte, store.Version) (store.Version, error) {
	return 1, nil
}

func (noRegistrations) Delete(context.Context, string, store.Version) error { return nil }

func (noRegistrations) List(context.Context, string) ([]store.Object, uint64, error) {
	return nil, 0, nil
}

func (noRegistrations) Watch(context.Context, string, uint64, time.Duration) ([]store.Change, uint64, error) {
	return nil, 0, nil
}

// Instances fails, so that the absence of a list is not taken for an empty one.
func (noRegistrations) Instances(context.Context) ([]store.PlatformInstance, error) {
	return nil, store.ErrNotFound
}

// peerServer answers the calls of other instances. Calls about generations and
// tickets belong to the product's own interface and are not offered here.
type peerServer struct{ *Gateway }

var _ peerpb.Peer = peerServer{}

func (s peerServer) Exchange(ctx context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return s.fleet.Exchange(ctx, r)
}

func (s peerServer) Probe(ctx context.Context, r *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	return s.fleet.Probe(ctx, r)
}

func notOffered(call string) error {
	return twirp.NewError(twirp.Unimplemented, call+" is not offered by this interface")
}

func (peerServer) FetchTickets(context.Context, *peerpb.FetchTicketsRequest) (*peerpb.FetchTicketsResponse, error) {
	return nil, notOffered("FetchTickets")
}

func (peerServer) Offer(context.Context, *peerpb.OfferRequest) (*peerpb.OfferResponse, error) {
	return nil, notOffered("Offer")
}

func (peerServer) Acknowledge(context.Context, *peerpb.AcknowledgeRequest) (*peerpb.AcknowledgeResponse, error) {
	return nil, notOffered("Acknowledge")
}

func (peerServer) Takeover(context.Context, *peerpb.TakeoverRequest) (*peerpb.TakeoverResponse, error) {
	return nil, notOffered("Takeover")
}

func (peerServer) Checkpoint(context.Context, *peerpb.CheckpointRequest) (*peerpb.CheckpointResponse, error) {
	return nil, notOffered("Checkpoint")
}

func (peerServer) FetchPrefix(context.Context, *peerpb.FetchPrefixRequest) (*peerpb.FetchPrefixResponse, error) {
	return nil, notOffered("FetchPrefix")
}
