package forward

import (
	"github.com/hibiscusstair/hibiscusstair/quarantine"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

// servedAfterEvents is the number of events after which an engine counts as having
// served a prompt. An engine that crashes on a prompt does so when it begins to
// generate.
const servedAfterEvents = 3

// Quarantine knows the prompt parts that crash engines.
type Quarantine interface {
	// Refused returns the parts for which a request with the given parts is
	// refused; nil if it is not.
	Refused(parts []quarantine.Part) []quarantine.Part
	// ReportCrash records the crash of an engine and the prompts that waited there.
	ReportCrash(crash quarantine.EngineCrashed)
	// ReportServed records that an engine generated events with the parts.
	ReportServed(parts []quarantine.Part)
}

func hashParts(ids []string) []quarantine.Part {
	parts := make([]quarantine.Part, 0, len(ids))
	for _, id := range ids {
		parts = append(parts, quarantine.PartOf(id))
	}
	return parts
}

// partRefusal returns a refusal if a part of the request's prompt has crashed
// engines, otherwise nil.
func (h *Handler) partRefusal(req *request) *reason.Error {
	if h.o.Quarantine == nil || len(req.sharedParts) == 0 {
		return nil
	}
	causes := h.o.Quarantine.Refused(req.sharedParts)
	if causes == nil {
		return nil
	}
	return reason.New(reason.CrashSuspect, "engines crashed on the prompt parts %x", causes)
}

// refusedWhileWaiting returns a refusal if the engine of an attempt has generated
// nothing and would probably crash on the prompt.
func (s *stream) refusedWhileWaiting(r *streamAttempt) *reason.Error {
	if r.eventsReceived > 0 {
		return nil
	}
	refusal := s.h.partRefusal(s.req)
	if refusal == nil {
		return nil
	}
	return refusal.WithRun(reason.RunUnknown)
}

// recordServed records that the engine of an attempt generates events.
func (s *stream) recordServed(r *streamAttempt) {
	if r.eventsReceived != servedAfterEvents {
		return
	}
	s.h.running.markServed(r.running)
	s.h.reportServed(s.req)
}

// reportServed reports that an engine generates a response with the parts of the
// request's prompt.
func (h *Handler) reportServed(req *request) {
	if h.o.Quarantine != nil && len(req.sharedParts) > 0 {
		h.o.Quarantine.ReportServed(req.sharedParts)
	}
}
