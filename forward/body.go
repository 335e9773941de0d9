package forward

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/hibiscusstair/hibiscusstair/httpapi"
	"github.com/hibiscusstair/hibiscusstair/reason"
)

const (
	// defaultMaxBodyBytes is the maximum size of a request body if the
	// configuration sets none.
	defaultMaxBodyBytes = 4 << 20
	// defaultBodyTimeout bounds the time that a body takes to arrive if the request has
	// no deadline.
	defaultBodyTimeout = 30 * time.Second
	// refusedBodyTimeout bounds the time that the rest of a body takes to arrive if its
	// request is refused. net/http reads it before it writes the response.
	refusedBodyTimeout = 250 * time.Millisecond
	// bodyMemoryFraction is the part of the process's memory that the bodies of requests in
	// progress may take together.
	bodyMemoryFraction = 0.25
)

// bodyMemory bounds the memory of the bodies of all requests in progress. It is safe for
// concurrent use.
type bodyMemory struct {
	// processBytes returns the memory that the process may use; 0 sets no limit.
	processBytes func() int64
	used         atomic.Int64 // bytes
}

// reserve takes n bytes. It returns false if there is no room for them.
func (m *bodyMemory) reserve(n int64) bool {
	used := m.used.Add(n)
	limit := int64(float64(m.processBytes()) * bodyMemoryFraction)
	if limit > 0 && used > limit {
		m.used.Add(-n)
		return false
	}
	return true
}

// bodyReservation is the memory of the body of one request, which is reserved as it
// arrives.
type bodyReservation struct {
	io.ReadCloser // the body
	memory        *bodyMemory
	reserved      int64  // bytes
	received      int64  // bytes
	beforeRead    func() // nil is none
}

// reserve makes the reservation at least n bytes. It returns a refusal if there is no room.
func (r *bodyReservation) reserve(n int64) *reason.Error {
	if n <= r.reserved {
		return nil
	}
	if !r.memory.reserve(n - r.reserved) {
		return reason.New(reason.Overloaded, "the bodies of other requests take the memory").WithRetryAfter(busyRetryAfter)
	}
	r.reserved = n
	return nil
}

// Read implements io.Reader. Its error is a reason.Error if there is no room.
func (r *bodyReservation) Read(p []byte) (int, error) {
	if r.beforeRead != nil {
		r.beforeRead()
	}
	n, err := r.ReadCloser.Read(p)
	r.received += int64(n)
	if refusal := r.reserve(r.received); refusal != nil {
		return n, refusal
	}
	return n, err
}

func (r *bodyReservation) release() { r.memory.used.Add(-r.reserved) }

// readCallerBody reads the body of a request, of at most limit bytes (0: the default), until
// the request's deadline. A caller that sends a byte now and then would hold it for ever
// otherwise. One of a known length is refused before it is read if there is no memory.
func (h *Handler) readCallerBody(w http.ResponseWriter, req *request, limit int64) ([]byte, *reason.Error) {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	if refusal := req.memory.reserve(min(req.inbound.ContentLength, limit)); refusal != nil {
		return nil, refusal
	}
	timeout := defaultBodyTimeout
	if req.deadline != 0 {
		timeout = h.remainingTime(req)
	}
	h.limitStalledUpload(w, req, timeout)
	body, err := httpapi.ReadBodyWithin(w, req.inbound, limit, timeout)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, h.uploadTimeoutError(req)
	}
	if err != nil {
		return nil, reason.From(err)
	}
	return body, nil
}

// limitUnreadBody bounds the time that net/http waits for the unread body of a request that
// is refused.
func limitUnreadBody(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedBodyTimeout))
}
