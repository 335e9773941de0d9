package gateway

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"runtime/debug"
	"slices"
	"time"
)

// settingsCheckInterval is how often the settings file is compared with what was read
// last. It may change without a signal.
const settingsCheckInterval = 2 * time.Second

// SettingsFile gives access to the settings of a running instance.
type SettingsFile struct {
	// Read returns the content of the file.
	Read func() ([]byte, error)
	// Parse decodes and checks the content as a whole.
	Parse func(content []byte) (Settings, error)
}

// Load reads and parses the file.
func (f SettingsFile) Load() (Settings, error) {
	content, err := f.Read()
	if err != nil {
		return Settings{}, fmt.Errorf("read the settings file: %w", err)
	}
	return f.Parse(content)
}

// settingsReload is the state of the task that follows the settings file.
type settingsReload struct {
	content  []byte // last content that was read
	unusable bool   // the last read or check failed
}

// followSettings applies the settings file after a reload signal, and when its content
// has changed.
func (g *Gateway) followSettings(ctx context.Context) error {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	var state settingsReload
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-g.o.ReloadSignals:
			g.reloadSettings(&state, true)
		case <-ticker.C:
			g.reloadSettings(&state, false)
		}
	}
}

// reloadSettings reads the settings file and applies it if it is valid. Without a
// signal, a file that is the same as before is not examined, and a failure is logged
// once.
func (g *Gateway) reloadSettings(state *settingsReload, signalled bool) {
	content, err := g.o.SettingsFile.Read()
	if err == nil && !signalled && bytes.Equal(content, state.content) {
		return
	}
	var next Settings
	if err == nil {
		state.content = content
		next, err = g.o.SettingsFile.Parse(content)
	}
	if err != nil {
		g.o.Metrics.Scope.Counter("settings_reload_failures").Inc(1)
		if signalled || !state.unusable {
			g.o.Log.Error("cannot use the changed settings; the active ones stay in effect", "error", err)
		}
		state.unusable = true
		return
	}
	state.unusable = false
	g.applySettings(next, signalled)
}

// applySettings applies the settings that a running instance can change, and logs
// them and those that need a restart.
func (g *Gateway) applySettings(next Settings, signalled bool) {
	active := *g.settings.Load()
	change := active.changeTo(next)
	g.settings.Store(&change.merged)
	g.activateSettings(change.merged)
	if len(change.applied) > 0 {
		g.o.Metrics.Scope.Counter("settings_reloads").Inc(1)
	}
	level := slog.LevelInfo
	if len(change.needRestart) > 0 {
		level = slog.LevelWarn
	}
	if signalled || len(change.applied) > 0 || len(change.needRestart) > 0 {
		g.o.Log.Log(context.Background(), level, "settings read again", "signal", signalled,
			"applied", change.applied, "restart_needed", change.needRestart)
	}
}

// activateSettings passes the settings that can change to the components that use
// them. Settings that a component reads at each use are not passed.
func (g *Gateway) activateSettings(s Settings) {
	g.o.Store.SetAddress(s.Store)
	ratio, baseline := s.retryLimits()
	g.retryBudget.SetLimits(ratio, baseline, s.RetryWindow)
	g.balancer.SetRegions(s.Regions)
	if g.overflow != nil {
		g.overflow.SetRegions(s.Regions)
	}
	if g.fleet != nil {
		g.fleet.ApplySettings(g.seedAddresses(), s.LinkMbps)
	}
	setMemoryLimit(s.MemoryBytes)
}

// retryLimits returns the retries of all instances together: for each request, and in
// addition within the window.
func (s Settings) retryLimits() (ratio, baseline float64) {
	if s.RetryRatio == 0 && s.RetryBaseline == 0 && s.RetryWindow == 0 {
		return defaultRetryRatio, defaultRetryBaseline
	}
	return s.RetryRatio * retryBudgetFraction, s.RetryBaseline * retryBudgetFraction
}

// setMemoryLimit sets the memory limit of the Go runtime for a process that may use
// the given number of bytes; 0 sets none.
func setMemoryLimit(bytes int64) {
	if bytes > 0 {
		debug.SetMemoryLimit(int64(float64(bytes) * memoryLimitFraction))
	}
}

// settingsChange is the difference between the active settings and new ones.
type settingsChange struct {
	// merged are the active settings with the new values that take effect.
	merged      Settings
	applied     []string // names of the values that take effect
	needRestart []string // names of the values that take effect after a restart
}

// changeTo returns what changes while the instance runs. What identifies it to others
// and the addresses of its listeners stay until a restart.
func (s Settings) changeTo(next Settings) settingsChange {
	c := settingsChange{merged: s}
	restart := func(name string, changed bool) {
		if changed {
			c.needRestart = append(c.needRestart, name)
		}
	}
	restart("instance", next.Instance != s.Instance)
	restart("place", next.Place != s.Place)
	restart("caller_listen", next.CallerListen != s.CallerListen)
	restart("ready_listen", next.ReadyListen != s.ReadyListen)
	restart("peer_listen", next.PeerListen != s.PeerListen)
	restart("metrics_listen", next.MetricsListen != s.MetricsListen)
	restart("peer_secret", next.PeerSecret != s.PeerSecret)
	restart("table_activation", next.TableActivation != s.TableActivation)
	restart("rollouts", next.Rollouts != s.Rollouts)
	restart("load_control", next.LoadControl != s.LoadControl)
	restart("zone_overflow", next.ZoneOverflow != s.ZoneOverflow)
	restart("memory_unlimited", next.MemoryBytes <= 0 && s.MemoryBytes > 0)

	apply := func(name string, changed bool) {
		if changed {
			c.applied = append(c.applied, name)
		}
	}
	apply("store", next.Store != s.Store)
	apply("peers", !slices.Equal(next.Peers, s.Peers))
	apply("regions", !maps.Equal(next.Regions, s.Regions))
	apply("link_mbps", next.LinkMbps != s.LinkMbps)
	apply("memory_bytes", next.MemoryBytes > 0 && next.MemoryBytes != s.MemoryBytes)
	apply("stop_timeout", next.StopTimeout != s.StopTimeout)
	apply("retry_ratio", next.RetryRatio != s.RetryRatio)
	apply("retry_baseline", next.RetryBaseline != s.RetryBaseline)
	apply("retry_window", next.RetryWindow != s.RetryWindow)
	c.merged.Store, c.merged.Peers, c.merged.Regions, c.merged.LinkMbps = next.Store, next.Peers, next.Regions, next.LinkMbps
	if next.MemoryBytes > 0 {
		c.merged.MemoryBytes = next.MemoryBytes
	}
	c.merged.StopTimeout = next.StopTimeout
	c.merged.RetryRatio, c.merged.RetryBaseline, c.merged.RetryWindow = next.RetryRatio, next.RetryBaseline, next.RetryWindow
	return c
}
