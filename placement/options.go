// Package placement chooses the endpoint that a piece of work runs on. It owns
// the endpoint table: slots, outstanding tokens, health, load reports, prefix
// affinity and the budget of the billed link between regions.
package placement

import (
	"log/slog"
	"net/http"

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
	// Instances returns the number of live instances that share the link. It is
	// optional; without it the whole share belongs to this instance.
	Instances func() int
	Log       *slog.Logger
	Scope     tally.Scope
	Clock     bootclock.Func
	Seed      uint64
	// HTTP polls and probes engines. It is optional.
	HTTP *http.Client
}

// CoreOptions configures a Core.
type CoreOptions struct {
	Instance api.InstanceID
	Half     api.Half
	Place    api.Place
	Seed     uint64
	// LinkBytesPerSecond is this instance's share of the billed link.
	LinkBytesPerSecond float64
}
