// Package settings declares the flags and environment variables of an instance,
// and checks all of them before any takes effect.
package settings

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// RecoveryMode says how a generation is recovered when its engine is suspected.
type RecoveryMode string

// Recovery modes.
const (
	// RecoveryEager starts a continuation on another engine as soon as the engine
	// is suspected, and uses the first attempt that delivers the next token.
	RecoveryEager RecoveryMode = "eager"
	// RecoverySparing probes the suspected engine first, and reattaches to its
	// stream if it responds.
	RecoverySparing RecoveryMode = "sparing"
	// RecoveryStartOver computes the response again from its start; it is a
	// baseline for measurements.
	RecoveryStartOver RecoveryMode = "start-over"
	// RecoveryFixedTimeout recovers only after a fixed time without data from the
	// engine; it is a baseline for measurements.
	RecoveryFixedTimeout RecoveryMode = "fixed-timeout"
)

// ExpelMode says who decides that an unresponsive instance is expelled.
type ExpelMode string

// Expel modes.
const (
	// ExpelAuto expels instances that are dead and no longer on the platform's
	// instance list.
	ExpelAuto ExpelMode = "auto"
	// ExpelManual expels instances only at an operator's command.
	ExpelManual ExpelMode = "manual"
)

// Settings contains the checked settings of one instance.
type Settings struct {
	Instance api.InstanceID
	Half     api.Half
	Place    api.Place

	CallerListen   netip.AddrPort
	OperatorListen netip.AddrPort
	PeerListen     netip.AddrPort

	StoreURL     string
	StoreTimeout time.Duration
	Peers        []netip.AddrPort

	OperatorTokenSHA256 string
	PeerSecret          string

	Recovery             RecoveryMode
	Expel                ExpelMode
	LinkBitsPerSecond    int64
	RequestTimeout       time.Duration
	MaxTimeout           time.Duration
	DrainTimeout         time.Duration
	MaxBodyBytes         int64
	MaxHeaderBytes       int
	MaxTokens            int
	SlowCallerTimeout    time.Duration
	WeightLoadsPerMinute int

	LogLevel slog.Level
}
