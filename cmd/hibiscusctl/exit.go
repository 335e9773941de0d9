package main

import (
	"context"
	"errors"

	"github.com/hibiscusstair/hibiscusstair/reason"
)

// Exit codes, by kind of failure.
const (
	exitFailed          = 1 // any other failure
	exitUsage           = 2 // wrong arguments or an unreadable file
	exitUnreachable     = 3 // no instance responded or can serve the call
	exitUnauthenticated = 4 // credential refused
	exitInvalid         = 5 // the ticket or the configuration has errors
	exitSuperseded      = 6 // another ticket has the same or a higher number
	exitPending         = 7 // the ticket is not accepted within the wait time
	exitStore           = 8 // the platform's store does not respond or limits the call rate
)

const exitCodesHelp = `Exit codes:
   0 success           4 credential refused
   1 other failure     5 the ticket or the configuration has errors
   2 wrong arguments   6 the number is taken or superseded
   3 unreachable       7 not accepted in the wait time
                       8 the platform's store does not respond or limits the call rate`

// errNotAccepted is returned if the wait ends before the ticket is accepted.
var errNotAccepted = errors.New("the ticket is not accepted yet")

// usageError is an error in the arguments.
type usageError struct{ message string }

func (e usageError) Error() string { return e.message }

func exitCode(err error) int {
	var usage usageError
	var refused *responseError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.Is(err, errConfigInvalid):
		return exitInvalid
	case errors.Is(err, errConfigStore):
		return exitStore
	case errors.Is(err, errNotAccepted), errors.Is(err, context.DeadlineExceeded):
		return exitPending
	case errors.Is(err, errUnreachable):
		return exitUnreachable
	case errors.As(err, &refused):
		return exitCodeForReason(refused.detail.Reason)
	default:
		return exitFailed
	}
}

func exitCodeForReason(r reason.Reason) int {
	switch r {
	case reason.Unauthenticated:
		return exitUnauthenticated
	case reason.TicketInvalid, reason.BadRequest, reason.TooLarge:
		return exitInvalid
	case reason.TicketSuperseded, reason.TicketConflict:
		return exitSuperseded
	case reason.StoreUnavailable, reason.StoreRateLimited:
		return exitStore
	case reason.NotReady, reason.ShuttingDown, reason.Fenced:
		return exitUnreachable
	default:
		return exitFailed
	}
}
