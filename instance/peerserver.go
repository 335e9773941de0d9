package instance

import (
	"context"

	"github.com/hibiscusstair/hibiscusstair/peer/peerpb"
)

// peerServer passes each call of another instance to the component that implements
// it.
type peerServer struct{ *Instance }

var _ peerpb.Peer = peerServer{}

func (s peerServer) Exchange(ctx context.Context, r *peerpb.ExchangeRequest) (*peerpb.ExchangeResponse, error) {
	return s.fleet.Exchange(ctx, r)
}

func (s peerServer) Probe(ctx context.Context, r *peerpb.ProbeRequest) (*peerpb.ProbeResponse, error) {
	return s.fleet.Probe(ctx, r)
}

func (s peerServer) FetchTickets(ctx context.Context, r *peerpb.FetchTicketsRequest) (*peerpb.FetchTicketsResponse, error) {
	return s.ticket.FetchTickets(ctx, r)
}

func (s peerServer) Offer(ctx context.Context, r *peerpb.OfferRequest) (*peerpb.OfferResponse, error) {
	return s.ticket.OfferHead(ctx, r)
}

func (s peerServer) Acknowledge(ctx context.Context, r *peerpb.AcknowledgeRequest) (*peerpb.AcknowledgeResponse, error) {
	return s.ticket.Acknowledge(ctx, r)
}

func (s peerServer) Takeover(_ context.Context, r *peerpb.TakeoverRequest) (*peerpb.TakeoverResponse, error) {
	return &peerpb.TakeoverResponse{Ended: s.generation.Takeover(r.Generation, r.Attempt)}, nil
}

func (s peerServer) Checkpoint(_ context.Context, r *peerpb.CheckpointRequest) (*peerpb.CheckpointResponse, error) {
	s.generation.StoreCheckpoint(r)
	return &peerpb.CheckpointResponse{}, nil
}

func (s peerServer) FetchPrefix(_ context.Context, r *peerpb.FetchPrefixRequest) (*peerpb.FetchPrefixResponse, error) {
	tokens, found := s.generation.StoredPrefix(r.Generation)
	return &peerpb.FetchPrefixResponse{Found: found, Tokens: tokens}, nil
}
