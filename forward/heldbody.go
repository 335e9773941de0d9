package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/reason"
)

// failureBytes returns the memory for the body of an engine's failure.
func failureBytes(response *http.Response) int64 {
	if response.ContentLength < 0 {
		return maxResponseBytes
	}
	return min(response.ContentLength, maxResponseBytes)
}

// openPlain returns the holding for the body of a plain response.
func (s *slowReaders) openPlain() *holding {
	if s == nil {
		return nil
	}
	return s.plain.open(0)
}

// reservePlain takes n bytes for the body of a response. It waits for half of the request's
// remaining time.
func (h *Handler) reservePlain(ctx context.Context, req *request, held *holding, n int64) *reason.Error {
	if held == nil {
		return nil
	}
	wait := defaultBodyTimeout
	if req.deadline != 0 {
		wait = time.Duration(float64(h.remainingTime(req)) * plainWaitShare)
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	if held.reserve(ctx, n, func() {}) {
		return nil
	}
	return reason.New(reason.Overloaded, "the responses to other requests take the memory").WithRetryAfter(busyRetryAfter)
}

// readHeldBody reads the whole body of a response into memory that is reserved before.
func (h *Handler) readHeldBody(ctx context.Context, req *request, held *holding, response *http.Response) ([]byte, error) {
	if held == nil {
		return readBody(response)
	}
	size := int64(firstPlainBytes)
	if response.ContentLength > maxResponseBytes {
		return nil, errResponseTooLarge
	}
	if response.ContentLength >= 0 {
		size = response.ContentLength + 1 // the last byte lets the end be read
	}
	reserved := int64(firstPlainBytes)
	var body []byte
	for {
		if size > reserved {
			if refusal := h.reservePlain(ctx, req, held, size-reserved); refusal != nil {
				return nil, refusal
			}
			reserved = size
		}
		body = append(make([]byte, 0, size), body...)
		for len(body) < cap(body) {
			n, err := response.Body.Read(body[len(body):cap(body)])
			body = body[:len(body)+n]
			switch {
			case errors.Is(err, io.EOF):
				return body, nil
			case err != nil:
				return nil, err
			}
		}
		if len(body) > maxResponseBytes {
			return nil, errResponseTooLarge
		}
		size = min(2*size, maxResponseBytes+1)
	}
}

// writeBody writes the body of a plain response. If slow readers are bounded, the caller has to
// go on reading and to have read it by the request's deadline, but gets slowCallerTimeout.
func (h *Handler) writeBody(w http.ResponseWriter, req *request, body []byte) error {
	if h.slow == nil {
		_, err := w.Write(body)
		return err
	}
	wait := defaultBodyTimeout
	if req.deadline != 0 {
		wait = max(slowCallerTimeout, h.remainingTime(req))
	}
	ctx, cancel := context.WithTimeout(req.inbound.Context(), wait)
	defer cancel()
	controller := http.NewResponseController(w)
	for piece := range slices.Chunk(body, sendQueueBytes) {
		if err := h.slow.awaitCaller(ctx, req.inbound, len(piece), nil); err != nil {
			return err
		}
		_ = controller.SetWriteDeadline(time.Now().Add(slowCallerTimeout))
		if _, err := w.Write(piece); err != nil {
			return err
		}
	}
	_ = controller.SetWriteDeadline(time.Now().Add(slowCallerTimeout)) // net/http writes the rest
	return nil
}

// limitStalledUpload lets the caller's body arrive without pauses of slowCallerTimeout if slow
// readers are bounded: a declared body takes memory from the start.
func (h *Handler) limitStalledUpload(w http.ResponseWriter, req *request, timeout time.Duration) {
	if h.slow == nil {
		return
	}
	end, controller := time.Now().Add(timeout), http.NewResponseController(w)
	req.memory.beforeRead = func() {
		next := time.Now().Add(slowCallerTimeout)
		if next.After(end) {
			next = end
		}
		_ = controller.SetReadDeadline(next)
	}
}

// uploadTimeoutError returns the refusal of a request whose body did not arrive in time.
func (h *Handler) uploadTimeoutError(req *request) *reason.Error {
	if h.slow != nil && (req.deadline == 0 || h.o.Clock() < req.deadline) {
		return reason.New(reason.SlowCaller, "the body does not arrive")
	}
	return reason.New(reason.DeadlineExceeded, "the body did not arrive before the deadline")
}

// abortSlowPlain closes the connection of a caller that does not read the body of its response.
func (h *Handler) abortSlowPlain(req *request) {
	h.refusals.Inc(reason.SlowCaller)
	req.log.Warn("response aborted", "reason", reason.SlowCaller, "message", errSlowCaller.Error(),
		"attempts", req.attempts, "age_ms", (h.o.Clock() - req.received).Milliseconds())
	panic(http.ErrAbortHandler)
}
