// Package placement chooses the endpoint that a piece of work runs on. It owns
// the endpoint table: slots, outstanding tokens, health, load reports, prefix
// affinity and the budget of the billed link between regions.
package placement

import (
	"log/slog"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
)

// Options configures a Runner.
type Options struct {
	Instance api.InstanceID
	Half     api.Half
	Place    api.Place
	// Config returns the configuration in force; nil means that there is none
	// yet.
	Config func() *api.Config
	// LinkBitsPerSecond is the fleet's share of the billed link. It is divided
	// by the number of instances.
	LinkBitsPerSecond int64
	// Instances returns the number of live instances that share the link and
	// the polling of engines. It is optional; without it the runner counts the
	// instances that sent deltas, and itself.
	Instances func() int
	Log       *slog.Logger
	Scope     tally.Scope
	Clock     bootclock.Func
	Seed      uint64
	// HTTP polls engines. It is optional. Probes always use connections of
	// their own.
	HTTP *http.Client
}

// CoreOptions configures a Core.
type CoreOptions struct {
	Instance api.InstanceID
	Half     api.Half
	Place    api.Place
	Seed     uint64
	// LinkBytesPerSecond is this instance's first share of the billed link.
	LinkBytesPerSecond float64
	// WallOffset is the wall clock less the boot clock at the start. Deltas of
	// several instances are ordered by wall clock time.
	WallOffset time.Duration
	// faults makes the core wrong in one named way; only tests set it.
	faults faults
}

// faults are the wrong variants that the property tests have to detect.
type faults struct {
	ignorePending    bool // uses endpoints that a pending ticket takes away
	ignoreSlots      bool // grants without regard to slots
	noKeptSlots      bool // lets drafts take the slots kept for others
	ignoreReserve    bool // lets ordinary work spend the recovery reserve
	unlimitedLink    bool // never charges the link
	acceptOldLoads   bool // merges a delta whatever its version
	noPacing         bool // sends all recoveries to one endpoint
	useUnprobed      bool // uses a suspected endpoint before its probe
	expireNothing    bool // keeps requests after their deadline
	skipMarkedCheck  bool // ignores which endpoints run marked contents
	joinIsolated     bool // places work beside content that runs alone
	neverShareMarked bool // runs marked contents on endpoints without others only
}
