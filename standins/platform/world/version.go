package world

import (
	"math/rand/v2"
	"net/http"
	"time"
)

// firstVersion is the version of the software of endpoints that are not told otherwise.
const firstVersion = "v1"

// VersionFaults are the faults of a version of the engines' software.
type VersionFaults struct {
	// FailShare is the share of the generations that fail: half with status 500, half
	// with a reset connection in the middle.
	FailShare float64
	// Slowness multiplies the time of each step; 0 is 1.
	Slowness float64
}

// SetVersion sets the version of the software, before the first start.
func (e *Endpoint) SetVersion(version string, faults VersionFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version, e.versionFaults = version, faults
}

// Version returns the version of the software.
func (e *Endpoint) Version() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// Retire stops the endpoint at once. It does not start again.
func (e *Endpoint) Retire() {
	e.mu.Lock()
	e.retired = true
	e.mu.Unlock()
	e.Deregister(e.Crash())
}

// slowed returns the parameters of an engine whose version is slow.
func (p EngineParameters) slowed(factor float64) EngineParameters {
	if factor > 1 {
		p.StepTime = time.Duration(float64(p.StepTime) * factor)
		p.PrefillTokensPerMS = max(1, int(float64(p.PrefillTokensPerMS)/factor))
	}
	return p
}

// failure is how a version fails a generation.
type failure int

const (
	succeeds failure = iota
	respondsFailure
	resets
)

func (e *Endpoint) drawFailure() failure {
	e.mu.Lock()
	share := e.versionFaults.FailShare
	e.mu.Unlock()
	switch draw := rand.Float64(); {
	case draw < share/2:
		return respondsFailure
	case draw < share:
		return resets
	}
	return succeeds
}

// writeFailure sends the events of a generation up to its middle and resets the connection.
func writeFailure(w http.ResponseWriter, r *http.Request, g *generation, bodyHash uint64) {
	writeEvents(w, r, g, bodyHash, (g.lastEvent+EventCount(g.maxOutputTokens))/2)
	panic(http.ErrAbortHandler)
}
