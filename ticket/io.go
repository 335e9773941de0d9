package ticket

import (
	"context"
	"time"

	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
	"github.com/hibiscusstair/hibiscusstair/store"
)

// peerTimeout bounds a call to a peer. It is short because another peer or the
// store is tried next.
const peerTimeout = time.Second

func (r *Runner) storeCall(s StoreCall) {
	done := StoreDone{ID: s.ID, SentAt: r.options.Clock()}
	api := r.options.Store
	switch s.Op {
	case StoreGet:
		done.Object, done.Err = api.Get(r.ctx, s.Key)
	case StorePut:
		var version store.Version
		version, done.Err = api.Put(r.ctx, s.Key, s.Value, s.Expect)
		done.Object = store.Object{Key: s.Key, Version: version}
	case StoreDelete:
		done.Err = api.Delete(r.ctx, s.Key, s.Expect)
	case StoreList:
		done.Objects, done.Revision, done.Err = api.List(r.ctx, s.Key)
	case StoreWatch:
		done.Changes, done.Revision, done.Err = api.Watch(r.ctx, s.Key, s.AfterRevision, s.Wait)
	}
	r.post(done)
}

func (r *Runner) fetch(a PeerFetch) {
	ctx, cancel := context.WithTimeout(r.ctx, peerTimeout)
	defer cancel()
	response, err := r.options.Clients.Client(a.Address).FetchTickets(ctx, &peerpb.FetchTicketsRequest{Above: a.Above})
	if err != nil {
		response = nil
	}
	r.post(FetchDone{Address: a.Address, Response: response})
}

func (r *Runner) offer(a PeerOffer) {
	ctx, cancel := context.WithTimeout(r.ctx, peerTimeout)
	defer cancel()
	_, err := r.options.Clients.Client(a.Address).Offer(ctx, a.Request)
	r.post(OfferDone{To: a.To, HeadVersion: a.Request.GetHeadVersion(), OK: err == nil})
}

func (r *Runner) acknowledge(a PeerAck) {
	ctx, cancel := context.WithTimeout(r.ctx, peerTimeout)
	defer cancel()
	response, err := r.options.Clients.Client(a.Address).Acknowledge(ctx, a.Request)
	if err != nil {
		response = nil
	}
	done := AckDone{To: a.To, Key: a.Key, Response: response}
	if a.Forwarded {
		done.Forwarded = a.Request
	}
	r.post(done)
}
