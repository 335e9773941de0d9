// Package settings declares the flags and environment variables of an
// instance and checks all of them before any takes effect.
package settings

import (
	"log/slog"
	"net/netip"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// RecoveryMode says how a generation that may have lost its engine goes on.
type RecoveryMode string

// Recovery modes.
const (
	// RecoveryEager starts a continuation on suspicion and takes the first
	// attempt that delivers the expected token.
	RecoveryEager RecoveryMode = "eager"
	// RecoverySparing probes first and stays on the engine that holds the
	// stream if it answers.
	RecoverySparing RecoveryMode = "sparing"
	// RecoveryStartOver computes the answer again from its start; it exists to
	// be measured against.
	RecoveryStartOver RecoveryMode = "start-over"
	// RecoveryFixedTimeout acts only after a fixed silence; it exists to be
	// measured against.
	RecoveryFixedTimeout RecoveryMode = "fixed-timeout"
)

// ExpelMode says who decides that a silent instance is gone.
type ExpelMode string

// Expel modes.
const (
	// ExpelAuto trusts the platform's list.
	ExpelAuto ExpelMode = "auto"
	// ExpelManual waits for an operator.
	ExpelManual ExpelMode = "manual"
)

// Settings is the checked configuration of one instance.
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
