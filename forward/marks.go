package forward

import (
	"context"
	"crypto/sha256"
	"slices"
	"sync"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/balance"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// CrashMarks counts endpoint crashes per content digest: content is marked when
// it was running on an endpoint that crashed. The marks of all instances are
// merged, because a caller may send the same content again to any of them.
type CrashMarks interface {
	// IsolationLevel returns how strictly content is to be isolated.
	IsolationLevel(digest api.Digest) api.Isolation
	// ReportCrash marks the content that was running on a crashed endpoint.
	ReportCrash(endpoint api.EndpointID, domain api.FailureDomain, running []api.Digest)
	// ReportCompleted clears the marks of content that an endpoint has completed.
	ReportCompleted(digest api.Digest)
}

// contentDigest identifies the content of a request: account, request URI and
// body, but not the request ID, which differs between retries of the caller.
func contentDigest(account api.AccountID, requestURI string, body []byte) api.Digest {
	h := sha256.New()
	for _, part := range []string{string(account), requestURI} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	var digest api.Digest
	copy(digest[:], h.Sum(nil))
	return digest
}

// runningContent tracks the content that each endpoint runs for this instance.
type runningContent struct {
	mu      sync.Mutex
	digests map[api.EndpointID][]api.Digest
}

func (c *runningContent) add(id api.EndpointID, digest api.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.digests[id] = append(c.digests[id], digest)
}

func (c *runningContent) remove(id api.EndpointID, digest api.Digest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.digests[id], digest); i >= 0 {
		c.digests[id] = slices.Delete(c.digests[id], i, i+1)
	}
	if len(c.digests[id]) == 0 {
		delete(c.digests, id)
	}
}

func (c *runningContent) onEndpoint(id api.EndpointID) []api.Digest {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.digests[id])
}

// contentRefusal returns a refusal if the content has crashed several
// endpoints, otherwise nil.
func (h *Handler) contentRefusal(digest api.Digest) *reason.Error {
	if h.o.CrashMarks == nil || h.o.CrashMarks.IsolationLevel(digest) < api.IsolationRefused {
		return nil
	}
	return reason.New(reason.CrashSuspect, "the content was running on several endpoints when they died")
}

// detectCrash checks in the background whether an endpoint whose connection
// broke accepts connections. If not, the endpoint has crashed, and the content
// that this instance ran there is reported.
func (h *Handler) detectCrash(lease *balance.Lease, digest api.Digest) {
	if h.o.CrashMarks == nil {
		return
	}
	running := h.running.onEndpoint(lease.Endpoint.ID)
	if !slices.Contains(running, digest) {
		running = append(running, digest)
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		conn, err := h.o.Pool.Get(ctx, lease.Endpoint, true)
		if err == nil {
			h.o.Pool.PutUnused(conn)
			return
		}
		h.o.CrashMarks.ReportCrash(lease.Endpoint.ID, lease.Endpoint.Domain, running)
	}()
}

// recordCompletion clears the marks of content that an endpoint has completed.
func (h *Handler) recordCompletion(digest api.Digest) {
	if h.o.CrashMarks != nil {
		h.o.CrashMarks.ReportCompleted(digest)
	}
}
