package emulate

import (
	"errors"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/cutproxy"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/deployment"
)

// slowStore is the delay of a slow store's answers.
const slowStore = 200 * time.Millisecond

// faults are the kinds of fault. Each begins the fault and returns what ends it.
var faults = map[string]func(*deployment.Deployment, Fault) (end func() error){
	"crash_domain":   crashDomain,
	"silence_engine": silenceEngine,
	"drain_engine":   drainEngine,
	"kill_instance":  killInstance,
	"kill_all":       killAll,
	"stop_instance":  stopInstance,
	"pause_instance": pauseInstance,
	"cut_store":      cutStore,
	"store_down":     storeDown,
	"store_slow":     storeSlow,
}

// FaultKinds returns the kinds of fault in order.
func FaultKinds() []string {
	var kinds []string
	for kind := range faults {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

// ended is the end of a fault that needs nothing.
func ended() error { return nil }

func crashDomain(d *deployment.Deployment, f Fault) func() error {
	restart := d.CrashDomain(f.Domain, func() bool { return false })
	return func() error { return errors.Join(restart()...) }
}

func silenceEngine(d *deployment.Deployment, f Fault) func() error {
	link := d.Links[f.On%len(d.Engines)]
	link.Freeze("", true, cutproxy.Up, cutproxy.Down)
	return func() error {
		link.Cut("")
		link.Heal("")
		return nil
	}
}

// drainEngine lets an engine leave at the end of the fault.
func drainEngine(d *deployment.Deployment, f Fault) func() error {
	e := d.Engines[f.On%len(d.Engines)]
	e.Drain()
	return func() error {
		e.Lapse(e.Crash())
		return nil
	}
}

func killInstance(d *deployment.Deployment, f Fault) func() error {
	d.Nodes[f.On%len(d.Nodes)].Process().Kill()
	return ended
}

func killAll(d *deployment.Deployment, _ Fault) func() error {
	for _, n := range d.Nodes {
		n.Process().Kill()
	}
	return ended
}

func stopInstance(d *deployment.Deployment, f Fault) func() error {
	d.Nodes[f.On%len(d.Nodes)].Process().Terminate()
	return ended
}

func pauseInstance(d *deployment.Deployment, f Fault) func() error {
	process := d.Nodes[f.On%len(d.Nodes)].Process()
	process.Pause()
	return func() error {
		process.Continue()
		return nil
	}
}

func cutStore(d *deployment.Deployment, f Fault) func() error {
	link := d.Nodes[f.On%len(d.Nodes)].StoreLink
	link.Cut("")
	link.Freeze("", true, cutproxy.Up, cutproxy.Down)
	return func() error {
		link.Cut("")
		link.Heal("")
		return nil
	}
}

func storeDown(d *deployment.Deployment, _ Fault) func() error {
	d.Store.SetDown(true)
	return func() error {
		d.Store.SetDown(false)
		return nil
	}
}

func storeSlow(d *deployment.Deployment, _ Fault) func() error {
	d.Store.SetDelay(slowStore)
	return func() error {
		d.Store.SetDelay(0)
		return nil
	}
}
