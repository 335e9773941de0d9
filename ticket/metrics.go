package ticket

import (
	"log/slog"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/telemetry"
)

type metrics struct {
	pending            tally.Counter
	accepted           tally.Counter
	headConflicts      tally.Counter
	writeResponsesLost tally.Counter
	decodeFailures     tally.Counter
	olderHeadsRefused  tally.Counter
	latest             tally.Gauge
	active             tally.Gauge
	pendingTime        tally.Timer
	refused            *telemetry.ReasonCounters
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		pending:            scope.Counter("seen"),
		accepted:           scope.Counter("accepted"),
		headConflicts:      scope.Counter("head_conflicts"),
		writeResponsesLost: scope.Counter("lost_answers"),
		decodeFailures:     scope.Counter("unreadable"),
		olderHeadsRefused:  scope.Counter("older_heads_refused"),
		latest:             scope.Gauge("latest"),
		active:             scope.Gauge("in_force"),
		pendingTime:        scope.Timer("pending_time"),
		refused:            telemetry.NewReasonCounters(scope, "refused"),
	}
}

// record counts and logs a note.
func (m *metrics) record(log *slog.Logger, n Note) {
	switch n.Kind {
	case NotePending:
		m.pending.Inc(1)
		log.Info("ticket is pending; its restrictions are applied", "ticket", n.Ticket)
	case NoteAccepted:
		m.accepted.Inc(1)
		m.pendingTime.Record(n.PendingTime)
		log.Info("ticket accepted; its configuration is active", "ticket", n.Ticket, "pending_ms", n.PendingTime.Milliseconds())
	case NoteOlderHeadIgnored:
		m.olderHeadsRefused.Inc(1)
		log.Error("ignored a ticket head that would revert the accepted ticket", "ticket", n.Ticket)
	case NoteDecodeFailed:
		m.decodeFailures.Inc(1)
		log.Error("cannot decode a stored or received ticket, ticket head, snapshot or registration", "ticket", n.Ticket, "error", n.Err.Error())
	case NoteHeadConflict:
		m.headConflicts.Inc(1)
	case NoteWriteResponseLost:
		m.writeResponsesLost.Inc(1)
		log.Warn("lost the store's response to a write of the ticket head; reading it back", "ticket", n.Ticket)
	}
}
