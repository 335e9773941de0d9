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

// CrashMarks keeps suspicions on content that was running on endpoints when they
// died. CrashMarks of all instances are merged, since a caller sends such content
// again to any of them.
type CrashMarks interface {
	IsolationLevel(digest api.Digest) api.Isolation
	ReportCrash(endpoint api.EndpointID, domain api.FailureDomain, running []api.Digest)
	ReportCompleted(digest api.Digest)
}

// digestOf identifies the content of a request: account, target and body, but
// not the attempt.
func digestOf(account api.AccountID, target string, body []byte) api.Digest {
	h := sha256.New()
	for _, part := range []string{string(account), target} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	var digest api.Digest
	copy(digest[:], h.Sum(nil))
	return digest
}

// inFlight knows the content that each endpoint runs for this instance.
type inFlight struct {
	mu   sync.Mutex
	runs map[api.EndpointID][]api.Digest
}

func (f *inFlight) add(id api.EndpointID, digest api.Digest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[id] = append(f.runs[id], digest)
}

func (f *inFlight) remove(id api.EndpointID, digest api.Digest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at := slices.Index(f.runs[id], digest); at >= 0 {
		f.runs[id] = slices.Delete(f.runs[id], at, at+1)
	}
	if len(f.runs[id]) == 0 {
		delete(f.runs, id)
	}
}

func (f *inFlight) at(id api.EndpointID) []api.Digest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.runs[id])
}

// refusedContent returns the refusal of content that has crashed several
// endpoints, or nil.
func (h *Handler) refusedContent(digest api.Digest) *reason.Error {
	if h.o.CrashMarks == nil || h.o.CrashMarks.IsolationLevel(digest) < api.IsolationRefused {
		return nil
	}
	return reason.New(reason.CrashSuspect, "the content was running on several endpoints when they died")
}

// suspectDeath finds out whether an endpoint whose connection broke has died,
// and then marks what it was running.
func (h *Handler) suspectDeath(lease *balance.Lease, digest api.Digest) {
	if h.o.CrashMarks == nil {
		return
	}
	running := h.running.at(lease.Endpoint.ID)
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

// completed clears the marks of content that an endpoint has survived.
func (h *Handler) completed(digest api.Digest) {
	if h.o.CrashMarks != nil {
		h.o.CrashMarks.ReportCompleted(digest)
	}
}
