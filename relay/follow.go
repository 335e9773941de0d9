package relay

import (
	"context"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/registry"
	"github.com/hibiscusstair/hibiscusstair/routing"
	"github.com/hibiscusstair/hibiscusstair/storesync"
)

const (
	// followWait is how long a call to another instance waits. Together with the
	// wait of that instance's own watch it stays below the age at which the
	// store counts as lost.
	followWait = 500 * time.Millisecond
	// followSlack is the time that the call may take beyond its wait.
	followSlack = 300 * time.Millisecond
)

// followed reads the store through another instance.
type followed struct {
	relay  peerpb.Relay
	decode func(document []byte) (*routing.Table, error)
	// anyAge takes what the instance has although it has lost the store.
	anyAge bool
}

var _ storesync.Store = (*followed)(nil)

func (f *followed) ReadTable(ctx context.Context) (storesync.TableRead, error) {
	return f.table(ctx, 0, followWait)
}

func (f *followed) WatchTable(ctx context.Context, after uint64, wait time.Duration) (storesync.TableRead, error) {
	return f.table(ctx, after, wait)
}

func (f *followed) table(ctx context.Context, after uint64, wait time.Duration) (storesync.TableRead, error) {
	ctx, cancel := context.WithTimeout(ctx, followWait+followSlack)
	defer cancel()
	answer, err := f.relay.WatchTable(ctx, f.request(after, wait))
	if err != nil {
		return storesync.TableRead{}, err
	}
	read := storesync.TableRead{Revision: answer.GetRevision(), Age: milliseconds(answer.GetAgeMs()), MayBeStale: f.anyAge}
	if len(answer.GetDocument()) > 0 {
		read.Table, err = f.decode(answer.GetDocument())
	}
	return read, err
}

func (f *followed) ListEndpoints(ctx context.Context) (storesync.EndpointList, error) {
	answer, err := f.endpoints(ctx, 0, followWait)
	if err != nil {
		return storesync.EndpointList{}, err
	}
	return storesync.EndpointList{
		Endpoints: decodeList(answer.GetChanges()), Revision: answer.GetRevision(),
		Age: milliseconds(answer.GetAgeMs()), MayBeStale: f.anyAge,
	}, nil
}

func (f *followed) WatchEndpoints(ctx context.Context, after uint64, wait time.Duration) (storesync.EndpointChanges, error) {
	answer, err := f.endpoints(ctx, after, wait)
	if err != nil {
		return storesync.EndpointChanges{}, err
	}
	read := storesync.EndpointChanges{Revision: answer.GetRevision(), Age: milliseconds(answer.GetAgeMs())}
	if answer.GetComplete() {
		read.Events = []registry.Event{registry.EndpointsListed{Endpoints: decodeList(answer.GetChanges())}}
		return read, nil
	}
	for _, change := range answer.GetChanges() {
		if changed := change.GetChanged(); changed != nil {
			read.Events = append(read.Events, registry.EndpointChanged{Endpoint: decodeEndpoint(changed)})
			continue
		}
		read.Events = append(read.Events, registry.EndpointRemoved{ID: api.EndpointID(change.GetGone())})
	}
	return read, nil
}

func (f *followed) endpoints(ctx context.Context, after uint64, wait time.Duration) (*peerpb.EndpointsAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, followWait+followSlack)
	defer cancel()
	return f.relay.WatchEndpoints(ctx, f.request(after, wait))
}

func (f *followed) request(after uint64, wait time.Duration) *peerpb.WatchRequest {
	return &peerpb.WatchRequest{After: after, WaitMs: uint32(min(wait, followWait).Milliseconds()), AnyAge: f.anyAge}
}

func decodeList(changes []*peerpb.EndpointChange) []registry.Endpoint {
	list := make([]registry.Endpoint, 0, len(changes))
	for _, change := range changes {
		if changed := change.GetChanged(); changed != nil {
			list = append(list, decodeEndpoint(changed))
		}
	}
	return list
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }
