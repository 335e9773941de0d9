//go:build review

package main

import (
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

// tokensPerEvent is the number of tokens in an event of a stream.
const tokensPerEvent = 6

// sheetEngine is an engine of the sheet.
var sheetEngine = world.EngineParameters{
	Slots: 64, QueueLength: 134, CapacityTokens: 88000, StepTime: 5090 * time.Microsecond, PrefillTokensPerMS: 8, PrefillChunkTokens: 200,
}

// startEngines starts the engines of the project's stand-in.
func (f *fleet) startEngines(log *world.RequestLog, perZone int) ([]*world.Endpoint, error) {
	backups := world.NewBackups()
	var engines []*world.Endpoint
	for _, zone := range zones {
		for range perZone {
			e := world.NewEngine("panchanga-llm", zone, sheetEngine, f.store, log, backups)
			if err := e.Start(); err != nil {
				return nil, err
			}
			engines = append(engines, e)
		}
	}
	return engines, nil
}

const (
	// deskSlots is the number of requests that a desk runs at the same time.
	deskSlots = 6
	// deskExtraMS is added to the 8 ms that a desk of the stand-in works: the sheet has 60 ms.
	deskExtraMS = 52
)

// startDesks starts one desk in each zone.
func (f *fleet) startDesks(log *world.RequestLog) error {
	faults := &world.DeskFaults{}
	faults.DelayMS.Store(deskExtraMS)
	for _, zone := range zones {
		if err := world.NewDesk("order-desk", zone, deskSlots, f.store, log, faults).Start(); err != nil {
			return err
		}
	}
	return nil
}
