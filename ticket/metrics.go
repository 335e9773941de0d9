package ticket

import (
	"log/slog"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/telemetry"
)

type metrics struct {
	pending    tally.Counter
	accepted   tally.Counter
	conflicts  tally.Counter
	lost       tally.Counter
	broken     tally.Counter
	reverted   tally.Counter
	latest     tally.Gauge
	inForce    tally.Gauge
	acceptance tally.Timer
	refused    *telemetry.ReasonCounters
}

func newMetrics(scope tally.Scope) *metrics {
	return &metrics{
		pending:    scope.Counter("seen"),
		accepted:   scope.Counter("accepted"),
		conflicts:  scope.Counter("head_conflicts"),
		lost:       scope.Counter("lost_answers"),
		broken:     scope.Counter("unreadable"),
		reverted:   scope.Counter("older_heads_refused"),
		latest:     scope.Gauge("latest"),
		inForce:    scope.Gauge("in_force"),
		acceptance: scope.Timer("pending_time"),
		refused:    telemetry.NewReasonCounters(scope, "refused"),
	}
}

func (m *metrics) note(log *slog.Logger, n Note) {
	switch n.Kind {
	case NotePending:
		m.pending.Inc(1)
		log.Info("ticket is pending; its restrictions apply", "ticket", n.Ticket)
	case NoteAccepted:
		m.accepted.Inc(1)
		m.acceptance.Record(n.PendingTime)
		log.Info("ticket is in force", "ticket", n.Ticket, "pending_ms", n.PendingTime.Milliseconds())
	case NoteOlderHeadRefused:
		m.reverted.Inc(1)
		log.Error("refused a ticket head that is older than the accepted ticket", "ticket", n.Ticket)
	case NoteDecodeFailed:
		m.broken.Inc(1)
		log.Error("a ticket value cannot be read", "ticket", n.Ticket, "error", n.Err.Error())
	case NoteHeadConflict:
		m.conflicts.Inc(1)
	case NoteWriteResponseLost:
		m.lost.Inc(1)
		log.Warn("the store's answer to a ticket write was lost; reading back", "ticket", n.Ticket)
	}
}
