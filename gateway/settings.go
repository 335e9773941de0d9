// Package gateway builds an instance that forwards callers' HTTP requests to
// endpoints by the operator's routing table, and runs its background tasks and
// listeners. The instances of package instance are of another kind: they serve
// generations and orders under change tickets.
package gateway

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// Settings contains the checked settings of an instance.
type Settings struct {
	Instance api.InstanceID
	Place    api.Place
	// Regions maps each failure domain to its region.
	Regions map[api.FailureDomain]api.Region

	CallerListen  netip.AddrPort
	ReadyListen   netip.AddrPort
	PeerListen    netip.AddrPort // zero: other instances cannot call this one
	MetricsListen netip.AddrPort // zero: no metrics are served

	Store netip.AddrPort
	// Peers are addresses of some instances, possibly including this one. The
	// instances may be down.
	Peers []netip.AddrPort
	// PeerSecret is the secret with which instances sign their calls to each other.
	PeerSecret string

	// FirstStart says that the whole fleet starts for the first time.
	FirstStart bool
	// LinkMbps is the bandwidth of the instance's link in Mbit/s; 0 is unknown.
	LinkMbps uint32
	// MemoryBytes is the memory that the process may use; 0 sets no limit.
	MemoryBytes int64
	// TableActivation is the time within which a new configuration has to be in force;
	// 0 is unknown.
	TableActivation time.Duration
	// StopTimeout is how long the process may run after the stop signal; 0 is the
	// default.
	StopTimeout time.Duration

	// RetryRatio and RetryBaseline limit the retries that all instances together
	// send to a service within RetryWindow: RetryRatio retries per request, and
	// RetryBaseline in addition. If all are 0, there is a default.
	RetryRatio    float64
	RetryBaseline float64
	RetryWindow   time.Duration

	Rollouts RolloutSettings
	// LoadControl switches on the admission queue and the memory bounds for slow readers.
	LoadControl bool
	// ZoneOverflow says whether requests leave the failure domain by need.
	ZoneOverflow OverflowMode
}

// RolloutSettings bound what a new version of a service's software may receive before it
// is known to be good.
type RolloutSettings struct {
	Enabled bool
	// ExposeShare is the share of a service's requests that a bad version may get, and
	// ExposeSlack the number of requests that it may get in addition.
	ExposeShare float64
	ExposeSlack int
	// RollbackTimeout is the time after the 50th bad response within which a bad version
	// has to get no more requests.
	RollbackTimeout time.Duration
}

// OverflowMode says whether requests leave the failure domain by need.
type OverflowMode string

// Overflow modes.
const (
	OverflowOff OverflowMode = "off"
	OverflowOn  OverflowMode = "on"
)

// ParseOverflowMode checks the name of a mode; "" is OverflowOff.
func ParseOverflowMode(text string) (OverflowMode, error) {
	switch mode := OverflowMode(text); mode {
	case "":
		return OverflowOff, nil
	case OverflowOn, OverflowOff:
		return mode, nil
	}
	return "", fmt.Errorf("zone overflow: %q is neither on nor off", text)
}

// overflows reports whether requests leave the failure domain by need.
func (s Settings) overflows() bool { return s.ZoneOverflow == OverflowOn }
