package emulate

import (
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/cutproxy"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/deployment"
)

// slowStore is the delay of a slow store's answers.
const slowStore = 200 * time.Millisecond

// faults are the kinds of fault. Each begins the fault and returns what ends it.
var faults = map[string]func(*deployment.Deployment, Fault) func(){
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

// Kinds returns the kinds of fault in order.
func Kinds() []string {
	var kinds []string
	for kind := range faults {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

func none() {}

func crashDomain(d *deployment.Deployment, f Fault) func() {
	restart := d.CrashDomain(f.Domain, func() bool { return false })
	return func() { _ = restart() }
}

func silenceEngine(d *deployment.Deployment, f Fault) func() {
	link := d.Links[f.On%len(d.Engines)]
	link.Freeze("", true, cutproxy.Up, cutproxy.Down)
	return func() {
		link.Cut("")
		link.Heal("")
	}
}

// drainEngine lets an engine leave at the end of the fault.
func drainEngine(d *deployment.Deployment, f Fault) func() {
	e := d.Engines[f.On%len(d.Engines)]
	e.Drain()
	return func() { e.Lapse(e.Crash()) }
}

func killInstance(d *deployment.Deployment, f Fault) func() {
	d.Nodes[f.On%len(d.Nodes)].Process().Kill()
	return none
}

func killAll(d *deployment.Deployment, _ Fault) func() {
	for _, n := range d.Nodes {
		n.Process().Kill()
	}
	return none
}

func stopInstance(d *deployment.Deployment, f Fault) func() {
	d.Nodes[f.On%len(d.Nodes)].Process().Terminate()
	return none
}

func pauseInstance(d *deployment.Deployment, f Fault) func() {
	process := d.Nodes[f.On%len(d.Nodes)].Process()
	process.Freeze()
	return process.Thaw
}

func cutStore(d *deployment.Deployment, f Fault) func() {
	link := d.Nodes[f.On%len(d.Nodes)].StoreLink
	link.Cut("")
	link.Freeze("", true, cutproxy.Up, cutproxy.Down)
	return func() {
		link.Cut("")
		link.Heal("")
	}
}

func storeDown(d *deployment.Deployment, _ Fault) func() {
	d.Store.SetDown(true)
	return func() { d.Store.SetDown(false) }
}

func storeSlow(d *deployment.Deployment, _ Fault) func() {
	d.Store.SetDelay(slowStore)
	return func() { d.Store.SetDelay(0) }
}
