// Package reason holds the one list of reasons for which the system refuses,
// ends, drops or retries something, and the typed error that carries them.
package reason

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Reason is one entry of the list. Each has a counter and a line in
// docs/OPERATIONS.md.
type Reason string

// RunStatus says whether the request was run by an endpoint.
type RunStatus string

// Values of Run.
const (
	// RunNo is said only when nothing of the request can have reached an
	// endpoint, or when the endpoint refused it before it started.
	RunNo RunStatus = "no"
	// RunUnknown is said when the request may have run.
	RunUnknown RunStatus = "unknown"
	// RunYes is said when the request ran, at least in part.
	RunYes RunStatus = "yes"
)

// Error is a refusal or a typed end of a request.
type Error struct {
	Reason     Reason
	Run        RunStatus
	Message    string
	Field      string        // place in the input, for a bad request
	RetryAfter time.Duration // 0: no advice
}

// New returns an error for a request that was not run.
func New(r Reason, format string, args ...any) *Error {
	return &Error{Reason: r, Run: RunNo, Message: fmt.Sprintf(format, args...)}
}

// WithRun returns a copy of the error with another run status.
func (e *Error) WithRun(run RunStatus) *Error {
	c := *e
	c.Run = run
	return &c
}

// WithRetryAfter returns a copy of the error with advice when to retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithField returns a copy of the error with the place in the input.
func (e *Error) WithField(field string) *Error {
	c := *e
	c.Field = field
	return &c
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s (run: %s): %s", e.Reason, e.Run, e.Message)
}

// From returns the typed error in err's chain. Any other error is reported as
// internal with run status unknown.
func From(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return &Error{Reason: Internal, Run: RunUnknown, Message: "internal error"}
}

// HTTPStatus returns the status code for a refusal with this reason.
func (r Reason) HTTPStatus() int {
	if info, ok := details[r]; ok {
		return info.status
	}
	return http.StatusInternalServerError
}

// Help returns a one-line description of the reason.
func (r Reason) Help() string { return details[r].help }
