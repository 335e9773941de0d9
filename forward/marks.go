package forward

import (
	"crypto/sha256"

	"github.com/hibiscusstair/hibiscusstair/api"
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

// crashRefusal returns a refusal if the content or a part of the prompt has crashed
// several endpoints, otherwise nil.
func (h *Handler) crashRefusal(req *request) *reason.Error {
	if refusal := h.contentRefusal(req.digest); refusal != nil {
		return refusal
	}
	return h.partRefusal(req)
}

// contentRefusal returns a refusal if the content has crashed several
// endpoints, otherwise nil.
func (h *Handler) contentRefusal(digest api.Digest) *reason.Error {
	if h.o.CrashMarks == nil || h.o.CrashMarks.IsolationLevel(digest) < api.IsolationRefused {
		return nil
	}
	return reason.New(reason.CrashSuspect, "the content was running on several endpoints when they died")
}

// recordCompletion records that an endpoint has completed the content, and with it
// the parts of its prompt.
func (h *Handler) recordCompletion(req *request) {
	if h.o.CrashMarks != nil {
		h.o.CrashMarks.ReportCompleted(req.digest)
	}
	h.reportServed(req)
}
