package ticket

import (
	"context"
	"time"

	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/store"
)

// peerTimeout limits a call to a peer. It is short because another peer or the
// store is tried after a failure.
const peerTimeout = time.Second

// callStore performs a StoreCall and passes its result to the core.
func (r *Runner) callStore(s StoreCall) {
	done := StoreDone{ID: s.ID, SentAt: r.options.Clock()}
	storeAPI := r.options.Store
	switch s.Op {
	case StoreGet:
		done.Object, done.Err = storeAPI.Get(r.ctx, s.Key)
	case StorePut:
		var version store.Version
		version, done.Err = storeAPI.Put(r.ctx, s.Key, s.Value, s.ExpectedVersion)
		done.Object = store.Object{Key: s.Key, Version: version}
	case StoreDelete:
		done.Err = storeAPI.Delete(r.ctx, s.Key, s.ExpectedVersion)
	case StoreList:
		done.Objects, done.Revision, done.Err = storeAPI.List(r.ctx, s.Key)
	case StoreWatch:
		done.Changes, done.Revision, done.Err = storeAPI.Watch(r.ctx, s.Key, s.AfterRevision, s.Wait)
	}
	r.postResult(done)
}

func (r *Runner) fetchTickets(a PeerFetch) {
	ctx, cancel := context.WithTimeout(r.ctx, peerTimeout)
	defer cancel()
	response, err := r.options.Clients.Client(a.Address).FetchTickets(ctx, &peerpb.FetchTicketsRequest{Above: a.Above})
	if err != nil {
		response = nil
	}
	r.postResult(FetchDone{Address: a.Address, Response: response})
}

func (r *Runner) sendOffer(a PeerOffer) {
	ctx, cancel := context.WithTimeout(r.ctx, peerTimeout)
	defer cancel()
	_, err := r.options.Clients.Client(a.Address).Offer(ctx, a.Request)
	r.postResult(OfferDone{To: a.To, HeadVersion: a.Request.GetHeadVersion(), OK: err == nil})
}

func (r *Runner) sendAck(a PeerAck) {
	ctx, cancel := context.WithTimeout(r.ctx, peerTimeout)
	defer cancel()
	response, err := r.options.Clients.Client(a.Address).Acknowledge(ctx, a.Request)
	if err != nil {
		response = nil
	}
	done := AckDone{To: a.To, Version: a.Version, Response: response}
	if a.Forwarded {
		done.Forwarded = a.Request
	}
	r.postResult(done)
}
