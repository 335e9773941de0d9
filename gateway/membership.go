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

// configVersions reports the active configuration to the fleet component. Versions
// of the operator's configuration take the place of tickets: a version becomes
// active when it is read from the store, without acknowledgements. Instances are
// never expelled.
type configVersions struct{ *Gateway }

var _ fleet.TicketState = configVersions{}

func (s configVersions) Ready() bool                 { return s.table.Load() != nil }
func (s configVersions) HeadVersion() uint64         { return s.table.Version() }
func (s configVersions) Latest() uint64              { return s.table.Version() }
func (s configVersions) Accepted() uint64            { return s.table.Version() }
func (s configVersions) Acknowledged() uint64        { return s.table.Version() }
func (s configVersions) StoreContact() time.Duration { return s.follower.TableContact().LastResponse() }
func (s configVersions) ExpelledIncarnation() uint64 { return 0 }

func (s configVersions) Registrations() map[api.InstanceID]uint64 { return nil }

// NotifyNewerHead hands over to fetchNewerTables. One notice is enough: there is
// another with each exchange.
func (s configVersions) NotifyNewerHead(address string, version uint64) {
	select {
	case s.newerTables <- newerTable{address: address, version: version}:
	default:
	}
}

// noRegistrations replaces the store for the fleet component. In package instance, a
// registration makes the acceptance of a ticket wait for the instance. Here there
// are no tickets, so the store drops writes, contains no registrations, and costs
// no calls to the platform's store.
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

// Instances returns an error, so that the missing list is not mistaken for an empty
// one.
func (noRegistrations) Instances(context.Context) ([]store.PlatformInstance, error) {
	return nil, store.ErrNotFound
}

// peerServer serves the calls of other instances. Calls about generations and
// tickets belong to the instances of package instance and are not implemented.
type peerServer struct{ *Gateway }

var _ peerpb.Peer = peerServer{}

func (s peerServer) Exchange(ctx context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return s.fleet.Exchange(ctx, r)
}

func (s peerServer) Probe(ctx context.Context, r *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	return s.fleet.Probe(ctx, r)
}

func unimplemented(call string) error {
	return twirp.NewError(twirp.Unimplemented, call+" is not offered by this interface")
}

func (peerServer) FetchTickets(context.Context, *peerpb.FetchTicketsRequest) (*peerpb.FetchTicketsResponse, error) {
	return nil, unimplemented("FetchTickets")
}

func (peerServer) Offer(context.Context, *peerpb.OfferRequest) (*peerpb.OfferResponse, error) {
	return nil, unimplemented("Offer")
}

func (peerServer) Acknowledge(context.Context, *peerpb.AcknowledgeRequest) (*peerpb.AcknowledgeResponse, error) {
	return nil, unimplemented("Acknowledge")
}

func (peerServer) Takeover(context.Context, *peerpb.TakeoverRequest) (*peerpb.TakeoverResponse, error) {
	return nil, unimplemented("Takeover")
}

func (peerServer) Checkpoint(context.Context, *peerpb.CheckpointRequest) (*peerpb.CheckpointResponse, error) {
	return nil, unimplemented("Checkpoint")
}

func (peerServer) FetchPrefix(context.Context, *peerpb.FetchPrefixRequest) (*peerpb.FetchPrefixResponse, error) {
	return nil, unimplemented("FetchPrefix")
}
