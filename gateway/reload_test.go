package gateway

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
)

// Guards against a listener address, an identity or a secret that changes in the middle
// of the life of an instance, and against a change that is neither applied nor reported.
func TestChangeOfSettings(t *testing.T) {
	active := Settings{
		Instance: "i", Place: api.Place{Region: "r", FailureDomain: "d"}, PeerSecret: "s", MemoryBytes: 1 << 20,
		CallerListen: netip.MustParseAddrPort("10.0.0.1:1"), ReadyListen: netip.MustParseAddrPort("10.0.0.1:2"),
		PeerListen: netip.MustParseAddrPort("10.0.0.1:3"), MetricsListen: netip.MustParseAddrPort("10.0.0.1:4"),
	}
	other := netip.MustParseAddrPort("10.0.0.2:9")
	tests := []struct {
		name    string
		change  func(*Settings)
		restart bool
	}{
		{"instance", func(s *Settings) { s.Instance = "j" }, true},
		{"place", func(s *Settings) { s.Place.FailureDomain = "e" }, true},
		{"caller_listen", func(s *Settings) { s.CallerListen = other }, true},
		{"ready_listen", func(s *Settings) { s.ReadyListen = other }, true},
		{"peer_listen", func(s *Settings) { s.PeerListen = other }, true},
		{"metrics_listen", func(s *Settings) { s.MetricsListen = other }, true},
		{"peer_secret", func(s *Settings) { s.PeerSecret = "t" }, true},
		{"table_activation", func(s *Settings) { s.TableActivation = time.Second }, true},
		{"memory_unlimited", func(s *Settings) { s.MemoryBytes = 0 }, true},
		{"store", func(s *Settings) { s.Store = other }, false},
		{"peers", func(s *Settings) { s.Peers = []netip.AddrPort{other} }, false},
		{"regions", func(s *Settings) { s.Regions = map[api.FailureDomain]api.Region{"d": "r"} }, false},
		{"link_mbps", func(s *Settings) { s.LinkMbps = 10 }, false},
		{"memory_bytes", func(s *Settings) { s.MemoryBytes = 2 << 20 }, false},
		{"stop_timeout", func(s *Settings) { s.StopTimeout = time.Second }, false},
		{"retry_ratio", func(s *Settings) { s.RetryRatio = 1 }, false},
		{"retry_baseline", func(s *Settings) { s.RetryBaseline = 1 }, false},
		{"retry_window", func(s *Settings) { s.RetryWindow = time.Second }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			next := active
			test.change(&next)
			change := active.changeTo(next)
			applied, needRestart := []string{test.name}, []string(nil)
			if test.restart {
				applied, needRestart = needRestart, applied
			}
			if !slices.Equal(change.applied, applied) || !slices.Equal(change.needRestart, needRestart) {
				t.Errorf("applied %v, restart needed for %v; want %v and %v", change.applied, change.needRestart, applied, needRestart)
			}
			again := change.merged.changeTo(next)
			if len(again.applied) > 0 {
				t.Errorf("%v applied twice", again.applied)
			}
			if test.restart && len(change.merged.changeTo(active).needRestart) > 0 {
				t.Error("a value changed that needs a restart")
			}
		})
	}
}
