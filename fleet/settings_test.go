package fleet_test

import (
	"testing"
	"time"

	"github.com/hibiscusstair/hibiscusstair/api"
	"github.com/hibiscusstair/hibiscusstair/fleet"
)

// Guards against an instance that keeps looking for seeds that have been replaced, and
// never finds the fleet.
func TestChangedSeedsAreContacted(t *testing.T) {
	self := api.Member{ID: "a", Incarnation: 1, Address: "a:7000", LinkMbps: 20}
	core := fleet.NewCore(fleet.CoreOptions{Self: self, SeedAddresses: []string{"old:7000", "kept:7000"}, Seed: 1})
	core.Step(0, fleet.Tick{})
	core.Step(0, fleet.SettingsChanged{SeedAddresses: []string{"kept:7000", "new:7000"}, LinkMbps: 200})
	contacted := make(map[string]bool)
	for now := time.Second; now < 10*time.Second; now += testTick {
		for _, action := range core.Step(now, fleet.Tick{}) {
			if exchange, ok := action.(fleet.SendExchange); ok {
				contacted[exchange.Address] = true
			}
		}
	}
	if !contacted["new:7000"] || !contacted["kept:7000"] || contacted["old:7000"] {
		t.Errorf("contacted %v, want the new and the kept seed", contacted)
	}
	if own := core.Members()[0]; own.LinkMbps != 200 || own.Version <= self.Version {
		t.Errorf("own entry has %d Mbit/s and version %d", own.LinkMbps, own.Version)
	}
}
