// Package limits decides which requests may enter: rates and tokens in flight
// per client account, fair shares between instances, the retry budget, and
// shedding under overload.
package limits

import (
	"log/slog"

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
	// Instances returns the number of live instances of the half.
	Instances func() int
	Log       *slog.Logger
	Scope     tally.Scope
	Clock     bootclock.Func
}
