// Package reason defines the reasons for which the system refuses, ends, drops or
// retries a request or message, and the error type that carries them.
package reason

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Reason is a reason code. Each has a counter and a line in docs/OPERATIONS.md.
type Reason string

// RunStatus says whether an endpoint ran the request.
type RunStatus string

// Values of RunStatus.
const (
	// RunNo means that the request did not run. It is used only if no part of the
	// request can have reached an endpoint, or if the endpoint refused it before
	// it started.
	RunNo RunStatus = "no"
	// RunUnknown means that the request may have run.
	RunUnknown RunStatus = "unknown"
	// RunYes means that the request ran, at least in part.
	RunYes RunStatus = "yes"
)

// Error is the refusal or the failure of a request, with its reason.
type Error struct {
	Reason     Reason
	Run        RunStatus
	Message    string
	Field      string        // invalid field of the input, for a bad request
	RetryAfter time.Duration // how long to wait before a retry; 0 means no advice
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

// WithRetryAfter returns a copy of the error that advises to retry after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// WithField returns a copy of the error with the invalid field of the input.
func (e *Error) WithField(field string) *Error {
	c := *e
	c.Field = field
	return &c
}

func (e *Error) Error() string {
	return fmt.Sprintf("%s (run: %s): %s", e.Reason, e.Run, e.Message)
}

// From returns the *Error in err's chain. Any other error becomes an internal
// error with unknown run status.
func From(err error) *Error {
	var typed *Error
	if errors.As(err, &typed) {
		return typed
	}
	return &Error{Reason: Internal, Run: RunUnknown, Message: "internal error"}
}

// HTTPStatus returns the HTTP status code for a response with this reason.
func (r Reason) HTTPStatus() int {
	if d, ok := details[r]; ok {
		return d.status
	}
	return http.StatusInternalServerError
}

// Help returns a one-line description of the reason.
func (r Reason) Help() string { return details[r].help }
