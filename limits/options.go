// Package limits decides which requests are admitted. It enforces the request
// rate and the tokens in flight of each client account, divides these limits
// among the instances, keeps the retry budget, and sheds load under overload.
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
	// Config returns the active configuration; nil means that there is none yet.
	Config func() *api.Config
	// InstanceCount returns the number of live instances of this instance's half of
	// the organisation (api.Half), including this one.
	InstanceCount func() int
	// QueueDelay returns how long the first waiting request of the priority has
	// waited for an endpoint. It is optional; without it no load is shed.
	QueueDelay func(api.Priority) time.Duration
	Log        *slog.Logger
	Scope      tally.Scope
	Clock      bootclock.Func
}

// CoreOptions configures a Core.
type CoreOptions struct {
	Instance api.InstanceID
	// WallOffset is the difference between the wall clock and the boot clock at
	// the start. It makes versions grow across restarts.
	WallOffset time.Duration
	// NoShedding and NoRetryBudget disable load shedding and the retry budget, for
	// benchmarks that compare the behaviour without them.
	NoShedding    bool
	NoRetryBudget bool
	// mutations breaks rules on purpose; only tests set it.
	mutations mutations
}

// mutations are rules broken on purpose, each of which a property test has to
// detect.
type mutations struct {
	acceptOldUsage               bool // merges usage of an older version
	takeWholeLimitWithoutContact bool // uses the whole limit after contact is lost
	ignoreRate                   bool // admits any rate of requests
	ignoreRetryBudget            bool // allows every retry
	shedInteractiveFirst         bool // sheds interactive requests before drafts
	ignoreReleases               bool // does not free tokens in flight
}
