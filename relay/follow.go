package relay

import (
	"context"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/internal/transfer"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/storesync"
)

const (
	// peerWatchWait is the maximum wait of a watch call to another instance.
	// Together with the wait of that instance's own watch it stays below the
	// age at which store contact counts as lost.
	peerWatchWait = 500 * time.Millisecond
	// servingWatchWait replaces peerWatchWait for an instance that others read through:
	// what it has is passed on, and ages with each hop.
	servingWatchWait = 200 * time.Millisecond
	// peerCallSlack is the time that the call may take beyond its wait until the
	// response begins.
	peerCallSlack = 300 * time.Millisecond
	// peerStallTimeout is the time between two parts of a response. An instance
	// sends a configuration to all others of its failure domain at once.
	peerStallTimeout = 500 * time.Millisecond
	// maxPeerTransferTime bounds the transfer of a response.
	maxPeerTransferTime = 3 * time.Second
)

// peerBounds returns the timeouts of a call to another instance.
func peerBounds(wait time.Duration) transfer.Bounds {
	return transfer.Bounds{
		FirstByte: wait + peerCallSlack,
		Stall:     peerStallTimeout,
		Total:     wait + peerCallSlack + maxPeerTransferTime,
	}
}

// peerStore reads the store through another instance.
type peerStore struct {
	relay  peerpb.Relay
	decode func(document []byte) (*routing.Table, error)
	// acceptStale accepts the instance's data even if the instance has lost
	// contact with the store.
	acceptStale bool
	// helper says that the instance is not the parent in the tree of readers, so that it
	// may itself read through this one.
	helper  bool
	maxWait time.Duration // of a watch
	clock   bootclock.Func
	scope   tally.Scope
}

var _ storesync.Store = (*peerStore)(nil)

func (p *peerStore) ReadTable(ctx context.Context) (storesync.TableRead, error) {
	return p.watchTable(ctx, storesync.Revision{}, p.maxWait)
}

func (p *peerStore) WatchTable(ctx context.Context, after storesync.Revision, wait time.Duration) (storesync.TableRead, error) {
	return p.watchTable(ctx, after, wait)
}

func (p *peerStore) watchTable(ctx context.Context, after storesync.Revision, wait time.Duration) (storesync.TableRead, error) {
	ctx, cancel := p.peerCall(ctx)
	defer cancel()
	request, sentAt := p.watchRequest(after, wait), p.clock()
	response, err := p.relay.WatchTable(ctx, request)
	if err != nil {
		return storesync.TableRead{}, err
	}
	read := storesync.TableRead{
		Revision: storesync.Revision{Era: response.GetEra(), Number: response.GetRevision()},
		Age:      p.ageOnArrival(response.GetAgeMs(), sentAt, request), MayBeStale: p.acceptStale, ThroughHelper: p.helper,
	}
	p.scope.Counter("document_bytes_received").Inc(int64(len(response.GetDocument()) + len(response.GetGzipDocument())))
	document := response.GetDocument()
	if len(response.GetGzipDocument()) > 0 {
		if document, err = decompress(response.GetGzipDocument()); err != nil {
			return storesync.TableRead{}, err
		}
	}
	if len(document) > 0 {
		read.Table, err = p.decode(document)
	}
	return read, err
}

func (p *peerStore) ListEndpoints(ctx context.Context) (storesync.EndpointList, error) {
	response, age, err := p.watchEndpoints(ctx, storesync.Revision{}, p.maxWait)
	if err != nil {
		return storesync.EndpointList{}, err
	}
	return storesync.EndpointList{
		Endpoints: decodeEndpoints(response.GetChanges()), Revision: endpointsRevision(response),
		Age: age, MayBeStale: p.acceptStale, ThroughHelper: p.helper,
	}, nil
}

func (p *peerStore) WatchEndpoints(ctx context.Context, after storesync.Revision, wait time.Duration) (storesync.EndpointChanges, error) {
	response, age, err := p.watchEndpoints(ctx, after, wait)
	if err != nil {
		return storesync.EndpointChanges{}, err
	}
	read := storesync.EndpointChanges{Revision: endpointsRevision(response), Age: age, ThroughHelper: p.helper}
	if response.GetComplete() {
		read.Events = []registry.Event{registry.EndpointsListed{Endpoints: decodeEndpoints(response.GetChanges())}}
		return read, nil
	}
	for _, change := range response.GetChanges() {
		if changed := change.GetChanged(); changed != nil {
			read.Events = append(read.Events, registry.EndpointChanged{Endpoint: decodeEndpoint(changed)})
			continue
		}
		read.Events = append(read.Events, registry.EndpointRemoved{ID: api.EndpointID(change.GetGone())})
	}
	return read, nil
}

// watchEndpoints returns the response of the instance with its age on arrival.
func (p *peerStore) watchEndpoints(ctx context.Context, after storesync.Revision, wait time.Duration) (*peerpb.EndpointsAnswer, time.Duration, error) {
	ctx, cancel := p.peerCall(ctx)
	defer cancel()
	request, sentAt := p.watchRequest(after, wait), p.clock()
	response, err := p.relay.WatchEndpoints(ctx, request)
	return response, p.ageOnArrival(response.GetAgeMs(), sentAt, request), err
}

// ageOnArrival returns the age of a response. What a call takes beyond its wait was spent
// on the way, or while this process stood still.
func (p *peerStore) ageOnArrival(ageMS uint32, sentAt time.Duration, request *peerpb.WatchRequest) time.Duration {
	onTheWay := p.clock() - sentAt - milliseconds(request.GetWaitMs())
	return milliseconds(ageMS) + max(0, onTheWay)
}

// peerCall returns the context of a call to another instance. Its progress shows
// contact with that instance and not with the store.
func (p *peerStore) peerCall(ctx context.Context) (context.Context, context.CancelFunc) {
	return transfer.WithBounds(transfer.Observe(ctx, transfer.Observer{}), peerBounds(p.maxWait))
}

func (p *peerStore) watchRequest(after storesync.Revision, wait time.Duration) *peerpb.WatchRequest {
	return &peerpb.WatchRequest{
		After: after.Number, AfterEra: after.Era, WaitMs: uint32(min(wait, p.maxWait).Milliseconds()), AnyAge: p.acceptStale, AcceptsGzip: true,
	}
}

// errNoTable means that the instance has no configuration.
var errNoTable = errors.New("the instance has no configuration")

// FetchTable returns the configuration of an instance, whatever its age.
func FetchTable(ctx context.Context, relay peerpb.Relay, decode func([]byte) (*routing.Table, error), scope tally.Scope) (*routing.Table, error) {
	peer := &peerStore{relay: relay, decode: decode, acceptStale: true, maxWait: peerWatchWait, clock: bootclock.Now, scope: scope}
	read, err := peer.watchTable(ctx, storesync.Revision{}, 0)
	if err == nil && read.Table == nil {
		err = errNoTable
	}
	return read.Table, err
}

func endpointsRevision(response *peerpb.EndpointsAnswer) storesync.Revision {
	return storesync.Revision{Era: response.GetEra(), Number: response.GetRevision()}
}

func decodeEndpoints(changes []*peerpb.EndpointChange) []registry.Endpoint {
	list := make([]registry.Endpoint, 0, len(changes))
	for _, change := range changes {
		if changed := change.GetChanged(); changed != nil {
			list = append(list, decodeEndpoint(changed))
		}
	}
	return list
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
