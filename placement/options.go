// Package placement chooses the endpoint that runs a generation, order or lookup.
// It maintains the endpoint table with slots, outstanding tokens, health, load
// reports and prefix cache hints, queues requests while no endpoint can take
// them, and enforces the budget of the billed link between regions. The local
// region is the region of this instance.
//
// A continuation is a request with PlacementRequest.Recovery: it continues a
// generation that lost its engine. Marked content has crash marks, because it ran
// on an engine that crashed; isolated content is marked content that has to run
// alone (api.IsolationExclusive).
//
// Core is the deterministic decision logic; Runner connects it to callers,
// engines and peers.
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
	// Config returns the active configuration, or nil if there is none yet.
	Config func() *api.Config
	// LinkBitsPerSecond is the budget of the fleet for the billed link. It is
	// divided by the number of instances.
	LinkBitsPerSecond int64
	// InstanceCount returns the number of live instances, including this one, that
	// share the link and the polls of engines. If it is nil, the runner counts
	// itself and the instances whose load observations it received.
	InstanceCount func() int
	Log           *slog.Logger
	Scope         tally.Scope
	Clock         bootclock.Func
	Seed          uint64
	// HTTP is the client for polls of engines; nil selects a default. Probes
	// always use new connections.
	HTTP *http.Client
}

// CoreOptions configures a Core.
type CoreOptions struct {
	Instance api.InstanceID
	Half     api.Half
	Place    api.Place
	Seed     uint64
	// LinkBytesPerSecond is this instance's initial share of the billed link.
	LinkBytesPerSecond float64
	// WallOffset is the difference between wall clock and boot clock at the start.
	// Loads from several instances are ordered by wall clock time.
	WallOffset time.Duration
	// mutations deliberately breaks the core; only tests set it.
	mutations mutations
}

// mutations switches on deliberate bugs that the property tests have to detect.
type mutations struct {
	ignorePendingTickets  bool // uses endpoints that a pending ticket removes
	ignoreSlots           bool // issues grants without a free slot
	noSlotReserve         bool // lets all work use the reserved slots
	ignoreLinkReserve     bool // lets new work use the link's reserve for continuations
	unlimitedLink         bool // doesn't charge the link's budget
	acceptStaleLoads      bool // merges loads with an older version
	noContinuationPacing  bool // doesn't limit the continuations per window
	useSuspectedEndpoints bool // uses suspected and dead endpoints before a probe succeeds
	neverExpire           bool // doesn't refuse requests after their deadline
	ignoreMarkedContent   bool // ignores which endpoints run marked content
	mixIsolatedContent    bool // places work on endpoints that run isolated content
	neverColocateMarked   bool // never grants marked content on an endpoint that runs marked content
}
