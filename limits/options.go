// Package limits decides which requests may enter: rates and tokens in flight
// per client account, fair shares between instances, the retry budget, and
// shedding under overload.
package limits

import (
	"log/slog"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
)

// Options configures a Runner.
type Options struct {
	Instance api.InstanceID
	// Config returns the configuration in force; nil means that there is none
	// yet.
	Config func() *api.Config
	// Instances returns the number of live instances of the half, this one
	// included.
	Instances func() int
	// QueueDelay returns how long the first waiting request of the priority has
	// waited for an endpoint. It is optional; without it nothing is shed.
	QueueDelay func(api.Priority) time.Duration
	Log        *slog.Logger
	Scope      tally.Scope
	Clock      bootclock.Func
}

// CoreOptions configures a Core.
type CoreOptions struct {
	Instance api.InstanceID
	// WallOffset is the wall clock less the boot clock at the start, so that
	// versions grow over a restart.
	WallOffset time.Duration
	// NoShedding and NoRetryBudget turn parts off, for comparisons.
	NoShedding    bool
	NoRetryBudget bool
	// mutations makes the core wrong in one named way; only tests set it.
	mutations mutations
}

// mutations are the wrong variants that the property tests have to detect.
type mutations struct {
	acceptOldUsage               bool // merges a delta whatever its version
	takeWholeLimitWithoutContact bool // takes the whole limit after the loss of contact
	ignoreRate                   bool // admits what is offered, without shares
	ignoreRetryBudget            bool // never charges a retry
	shedInteractiveFirst         bool // sheds interactive work before drafts
	ignoreReleases               bool // does not give tokens in flight back
}
