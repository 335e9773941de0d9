package gateway

import (
	"log/slog"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/bootclock"
	"github.com/hibiscusstair/hibiscusstair/registry"
)

// TestStartAfterALossOfAllIsNoFirstStart guards against settings that are left over from
// the first start, by which an instance does not read what earlier ones have stored.
func TestStartAfterALossOfAllIsNoFirstStart(t *testing.T) {
	for name, c := range map[string]struct {
		settings     bool
		ages         []time.Duration // of the endpoints; negative: it does not say when it started
		first, known bool
	}{
		"settings of a later start":  {false, nil, false, true},
		"no endpoint yet":            {true, nil, true, false},
		"endpoints start with it":    {true, []time.Duration{0, time.Second}, true, true},
		"an endpoint is older":       {true, []time.Duration{0, 2 * maxFirstStartAge}, false, true},
		"an endpoint without a time": {true, []time.Duration{0, -1}, false, true},
	} {
		g := &Gateway{startedAt: time.Now(), registry: registry.New(registry.Options{
			Clock: bootclock.Now, Log: slog.New(slog.DiscardHandler), Scope: tally.NoopScope, OnChange: func(registry.Change) {},
		})}
		g.o.Settings.FirstStart = c.settings
		for i, age := range c.ages {
			e := registry.Endpoint{ID: api.EndpointID("e" + string(rune('0'+i))), Address: "a:" + string(rune('0'+i))}
			if age >= 0 {
				e.Incarnation = g.startedAt.Add(-age).UnixMilli()
			}
			g.registry.Apply(registry.EndpointChanged{Endpoint: e})
		}
		if first, known := g.isFirstStart(); first != c.first || known != c.known {
			t.Errorf("%s: first %v, known %v", name, first, known)
		}
	}
}
