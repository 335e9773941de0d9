package forward

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

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
	controller := http.NewResponseController(w)
	// A connection that takes no deadline is bounded by the end of the request only.
	_ = controller.SetReadDeadline(time.Now().Add(timeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, req.inbound.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, reason.New(reason.TooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, reason.New(reason.DeadlineExceeded, "the body did not arrive before the deadline")
	case err != nil:
		return nil, reason.New(reason.BadRequest, "the body could not be read")
	}
	// From now on net/http reads to notice that the caller disconnects.
	_ = controller.SetReadDeadline(time.Time{})
	return body, nil
}

// limitUnreadBody bounds the time that net/http waits for the unread body of a request that
// is refused.
func limitUnreadBody(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedBodyTimeout))
}
