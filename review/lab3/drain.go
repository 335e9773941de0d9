//go:build review

package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

const (
	// enginesPerZone is the number of engines in each zone.
	enginesPerZone = 2
	// drainTime is drain-ms of the settings.
	drainTime = 2500 * time.Millisecond
	// streamCount is the number of streams, which all start within a second.
	streamCount = 48
	// streamEvents is the number of events of a stream, the largest of the sheet's kind.
	streamEvents = 180
	// tokensPerEvent is that of the sheet. The prompts are shorter than the mean of the sheet, so that
	// engines have memory for backups.
	tokensPerEvent = 6
	promptTokens   = 1000
	// streamTimeout is the time limit of a stream.
	streamTimeout = 25 * time.Second
	// crashAfterDrain is when the engines of a zone crash, after the store has acknowledged that
	// another engine drains. That one goes on to serve.
	crashAfterDrain = 4 * time.Second
	// crashTime is how long the crashed engines are down.
	crashTime = 1200 * time.Millisecond
	// exitAfterDrain is when the draining engine exits.
	exitAfterDrain = 7 * time.Second
)

// engineParameters follow the sheet, with the steps of an engine that is busy.
var engineParameters = world.EngineParameters{
	Slots: 64, QueueLength: 134, CapacityTokens: 88000, StepTime: 7 * time.Millisecond, PrefillTokensPerMS: 8, PrefillChunkTokens: 200,
}

// startEngines starts the engines, those of a zone one after the other.
func (f *fleet) startEngines(log *world.RequestLog, perZone int, parameters world.EngineParameters) ([]*world.Endpoint, error) {
	backups := world.NewBackups()
	var engines []*world.Endpoint
	for _, zone := range zones {
		for range perZone {
			e := world.NewEngine("panchanga-llm", zone, parameters, f.store, log, backups)
			if err := e.Start(); err != nil {
				return nil, err
			}
			engines = append(engines, e)
		}
	}
	return engines, nil
}

// drainedBackup lets an engine drain, and crashes the engines of another zone later than
// drain-ms after it. No request may reach the engine that drains. That one exits later.
func drainedBackup(f *fleet, trouble bool) (bool, error) {
	log := &world.RequestLog{}
	engines, err := f.startEngines(log, enginesPerZone, engineParameters)
	if err != nil {
		return false, err
	}
	if err := f.start(len(zones)); err != nil {
		return false, err
	}
	time.Sleep(contactTime)
	drained := engines[0]
	var ackedAt time.Time
	var group sync.WaitGroup
	for n := range streamCount {
		time.Sleep(time.Second / streamCount)
		group.Go(func() { f.sendStream(n) })
	}
	time.Sleep(time.Second)
	if trouble {
		drained.StartDraining()
		ackedAt = time.Now()
		f.record.addAt(ackedAt, "store acknowledges that an engine drains", "engine", drained.IncarnationID(), "zone", drained.Domain)
		time.Sleep(crashAfterDrain)
		if err := f.crashZone(engines, zones[1]); err != nil {
			return false, err
		}
		time.Sleep(time.Until(ackedAt.Add(exitAfterDrain)))
		drained.Deregister(drained.Crash())
		f.record.add("drained engine has left", "engine", drained.IncarnationID())
	}
	group.Wait()
	return f.judgeDrain(log, drained.IncarnationID(), ackedAt, trouble), nil
}

// crashZone crashes the engines of a zone, which are back after crashTime.
func (f *fleet) crashZone(engines []*world.Endpoint, zone string) error {
	crashed := slices.DeleteFunc(slices.Clone(engines), func(e *world.Endpoint) bool { return e.Domain != zone })
	var ids []string
	for _, e := range crashed {
		ids = append(ids, e.Crash())
	}
	f.record.add("engines crash", "zone", zone, "engines", ids)
	time.Sleep(crashTime)
	for n, e := range crashed {
		if err := e.Start(); err != nil {
			return err
		}
		e.Deregister(ids[n])
	}
	f.record.add("crashed engines are back", "zone", zone)
	return nil
}

// judgeDrain counts the requests that reached the engine later than drain-ms after the
// acknowledgement.
func (f *fleet) judgeDrain(log *world.RequestLog, drained string, ackedAt time.Time, trouble bool) bool {
	late := 0
	for _, r := range log.Requests() {
		f.record.addAt(r.ReceivedAt, "engine runs", "request", r.AttemptID, "engine", r.IncarnationID)
		if trouble && r.IncarnationID == drained && r.ReceivedAt.After(ackedAt.Add(drainTime)) {
			late++
			f.record.add("reached an engine that drains", "request", r.AttemptID, "after_ack", r.ReceivedAt.Sub(ackedAt).Round(time.Millisecond))
		}
	}
	f.record.add("result", "requests_late_at_the_draining_engine", late)
	return late > 0
}

func (f *fleet) sendStream(n int) {
	id := fmt.Sprintf("draft-%02d", n)
	i := f.instances[n%len(f.instances)]
	f.record.add("client sends a stream", "request", id, "instance", i.Name)
	o := world.Send(context.Background(), world.Request{
		AttemptID: id, Kind: world.KindStream, InstanceAddress: i.Front, Host: "press.example", Target: "/draft/" + id, APIKey: "key-1",
		Body: []byte("a prompt of " + id), PromptTokens: promptTokens, OutputTokens: streamEvents * tokensPerEvent, Timeout: streamTimeout,
	})
	f.record.add("stream ends", "request", id, "status", o.Status, "events", o.LastEvent, "complete", o.Complete, "violation", o.Violation, "error", o.Err)
}
