// Package gateway builds an instance that serves routed requests and joins its
// duties in a run group.
package gateway

import (
	"net/netip"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// Settings is the checked configuration of an instance.
type Settings struct {
	Instance api.InstanceID
	Place    api.Place
	// Regions has the region of every failure domain.
	Regions map[api.FailureDomain]api.Region

	CallerListen  netip.AddrPort
	ReadyListen   netip.AddrPort
	PeerListen    netip.AddrPort // zero: other instances cannot call this one
	MetricsListen netip.AddrPort // zero: no metrics are served

	Store netip.AddrPort
	// Peers are addresses of some other instances; they may be down.
	Peers []netip.AddrPort
	// PeerSecret signs the messages between instances.
	PeerSecret string

	// MemoryBytes bounds the process; 0 is unknown.
	MemoryBytes int64
	// StopTimeout is how long the process may run after it was told to stop.
	StopTimeout time.Duration

	// RetryRatio and RetryBaseline bound the repetitions to a service by all
	// instances within RetryWindow.
	RetryRatio    float64
	RetryBaseline float64
	RetryWindow   time.Duration
}
