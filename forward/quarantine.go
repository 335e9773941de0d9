package forward

import (
	"crypto/sha256"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/quarantine"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// servedAfterEvents is the number of events after which an engine counts as having
// served a prompt. An engine that crashes on a part of a prompt does so when it begins
// to generate.
const servedAfterEvents = 3

// Quarantine knows the contents and the prompt parts that crash engines. The records of
// all instances are merged, because a caller may send the same content to any of them.
type Quarantine interface {
	// Assess returns what the crashes say about a request.
	Assess(request quarantine.Request) quarantine.Assessment
	// StartTrial reports whether a request that is refused may be sent to one endpoint.
	StartTrial(assessment quarantine.Assessment) bool
	// ReportCrash records the crash of an engine and the requests that it ran.
	ReportCrash(crash quarantine.EngineCrashed)
	// ReportServed records that an engine generated events with the parts of a prompt.
	ReportServed(parts []quarantine.Part)
	// ReportCompleted records that an engine ran a request to its end.
	ReportCompleted(request quarantine.Request)
}

// contentDigest identifies the content of a request: account, host, request URI and
// body, but not the request ID, which differs between retries of the caller.
func contentDigest(account api.AccountID, host, requestURI string, body []byte) api.Digest {
	h := sha256.New()
	for _, part := range []string{string(account), host, requestURI} {
		_, _ = h.Write([]byte(part))
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(body)
	var digest api.Digest
	copy(digest[:], h.Sum(nil))
	return digest
}

// newIdentity returns what a request may crash engines with: its content and the parts
// of its prompt that others may share.
func newIdentity(account api.AccountID, digest api.Digest, sharedPartIDs []string) quarantine.Request {
	identity := quarantine.Request{Content: quarantine.ContentOf(digest), Account: quarantine.AccountOf(account)}
	for _, id := range sharedPartIDs {
		identity.Shared = append(identity.Shared, quarantine.PartOf(id))
	}
	return identity
}

// crashRefusal returns a refusal if the content or a part of the prompt has crashed
// several endpoints, otherwise nil.
func (h *Handler) crashRefusal(req *request) *reason.Error {
	if h.o.Quarantine == nil {
		return nil
	}
	req.assessment = h.o.Quarantine.Assess(req.identity)
	if !req.assessment.Refused() {
		return nil
	}
	refusal := reason.New(reason.CrashSuspect, "endpoints crashed on the parts %x", req.assessment.Causes)
	if req.assessment.Tied {
		// Trials may show that the content is harmless.
		return refusal.WithRetryAfter(maxRetryAfter)
	}
	return refusal
}

// admissionRefusal returns a refusal for a request that has arrived, as crashRefusal. It
// lets a tied request through as a trial, see quarantine.Core.
func (h *Handler) admissionRefusal(req *request) *reason.Error {
	refusal := h.crashRefusal(req)
	if refusal == nil || !h.o.Quarantine.StartTrial(req.assessment) {
		return refusal
	}
	req.trial = true
	req.log.Info("trial of a request that may crash endpoints", "content_crashes", req.assessment.Crashes)
	return nil
}

// attemptRefusal returns a refusal for an attempt that is about to start, as
// crashRefusal. The first attempt of a trial is not refused.
func (h *Handler) attemptRefusal(req *request) *reason.Error {
	refusal := h.crashRefusal(req)
	if req.isTrial() && req.attempts == 0 {
		return nil
	}
	return refusal
}

// isTrial reports whether the request is a trial and its content still tied.
func (req *request) isTrial() bool { return req.trial && req.assessment.Tied }

// refusedWhileWaiting returns a refusal if the engine of an attempt has generated
// nothing and would probably crash on the request.
func (s *stream) refusedWhileWaiting(r *streamAttempt) *reason.Error {
	if r.eventsReceived > 0 {
		return nil
	}
	refusal := s.h.crashRefusal(s.req)
	if refusal == nil || s.req.isTrial() {
		return nil
	}
	return refusal.WithRun(reason.RunUnknown)
}

// recordServed records that the engine of an attempt generates events.
func (s *stream) recordServed(r *streamAttempt) {
	if r.eventsReceived != servedAfterEvents {
		return
	}
	s.h.attempts.markServed(r.tracked)
	if s.h.o.Quarantine != nil && len(s.req.identity.Shared) > 0 {
		s.h.o.Quarantine.ReportServed(s.req.identity.Shared)
	}
}

// recordCompletion records that an endpoint has completed the request.
func (h *Handler) recordCompletion(req *request) {
	if h.o.Quarantine != nil {
		h.o.Quarantine.ReportCompleted(req.identity)
	}
}
