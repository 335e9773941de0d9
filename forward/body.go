package forward

import (
	"errors"
	"net/http"
	"os"
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
)

// readCallerBody reads the body of a request, of at most limit bytes (0: the default), until
// the request's deadline. A caller that sends a byte now and then would hold it for ever
// otherwise.
func (h *Handler) readCallerBody(w http.ResponseWriter, req *request, limit int64) ([]byte, *reason.Error) {
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	timeout := defaultBodyTimeout
	if req.deadline != 0 {
		timeout = h.remainingTime(req)
	}
	body, err := httpapi.ReadBodyWithin(w, req.inbound, limit, timeout)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, reason.New(reason.DeadlineExceeded, "the body did not arrive before the deadline")
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
