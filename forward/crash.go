package forward

import (
	"context"
	"errors"
	"slices"
	"sync"
	"syscall"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/quarantine"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

// runningRequest is a request that an endpoint runs for this instance.
type runningRequest struct {
	digest api.Digest
	// parts are the prompt parts that the request may share with others.
	parts []quarantine.Part
	// served is true once the engine has generated servedAfterEvents events.
	served bool
}

// runningRequests tracks the requests that each endpoint runs for this instance.
type runningRequests struct {
	mu         sync.Mutex
	byEndpoint map[api.EndpointID][]*runningRequest
}

func (r *runningRequests) add(id api.EndpointID, req *request) *runningRequest {
	added := &runningRequest{digest: req.digest, parts: req.sharedParts}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byEndpoint[id] = append(r.byEndpoint[id], added)
	return added
}

func (r *runningRequests) remove(id api.EndpointID, removed *runningRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byEndpoint[id] = slices.DeleteFunc(r.byEndpoint[id], func(other *runningRequest) bool { return other == removed })
	if len(r.byEndpoint[id]) == 0 {
		delete(r.byEndpoint, id)
	}
}

func (r *runningRequests) markServed(running *runningRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	running.served = true
}

// onEndpoint returns the contents that the endpoint runs, and the prompts that wait
// there for their first events.
func (r *runningRequests) onEndpoint(id api.EndpointID) (contents []api.Digest, waiting [][]quarantine.Part) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, running := range r.byEndpoint[id] {
		contents = append(contents, running.digest)
		if !running.served && len(running.parts) > 0 {
			waiting = append(waiting, running.parts)
		}
	}
	return contents, waiting
}

// detectCrash checks in the background whether an endpoint whose connection broke
// refuses connections. If so, the endpoint has crashed, and what this instance ran
// there is reported. A timeout is no evidence: a lost packet or a full link of this
// instance causes it too. It has to be called before the broken attempt is removed from
// the running requests.
func (h *Handler) detectCrash(lease *balance.Lease) {
	contents, waiting := h.running.onEndpoint(lease.Endpoint.ID)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		conn, err := h.o.Pool.Get(ctx, lease.Endpoint, true)
		if err == nil {
			h.o.Pool.PutUnused(conn)
			return
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			h.reportCrash(lease.Endpoint, contents, waiting)
		}
	}()
}

func (h *Handler) reportCrash(endpoint registry.Endpoint, contents []api.Digest, waiting [][]quarantine.Part) {
	if h.o.CrashMarks != nil {
		h.o.CrashMarks.ReportCrash(endpoint.ID, endpoint.Domain, contents)
	}
	if h.o.Quarantine != nil {
		h.o.Quarantine.ReportCrash(quarantine.EngineCrashed{
			Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation, Domain: endpoint.Domain, Waiting: waiting,
		})
	}
}
