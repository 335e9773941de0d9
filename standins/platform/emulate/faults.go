package emulate

import (
	"errors"
	"slices"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/cutproxy"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/deployment"
)

// slowStoreDelay is the delay of each store response during store_slow.
const slowStoreDelay = 200 * time.Millisecond

// faultInjectors maps each kind of fault to a function that injects it and
// returns a function that ends it.
var faultInjectors = map[string]func(*deployment.Deployment, Fault) (end func() error){
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

// FaultKinds returns the kinds of fault in alphabetical order.
func FaultKinds() []string {
	var kinds []string
	for kind := range faultInjectors {
		kinds = append(kinds, kind)
	}
	slices.Sort(kinds)
	return kinds
}

// nothingToUndo ends a fault that needs no cleanup.
func nothingToUndo() error { return nil }

func crashDomain(d *deployment.Deployment, f Fault) func() error {
	restart := d.CrashDomain(f.Domain, func() bool { return false })
	return func() error { return errors.Join(restart()...) }
}

func silenceEngine(d *deployment.Deployment, f Fault) func() error {
	proxy := d.EndpointProxies[f.TargetIndex%len(d.Engines)]
	proxy.Freeze("", true, cutproxy.Up, cutproxy.Down)
	return func() error {
		// Close the stalled connections, so that held data is not delivered late.
		proxy.Cut("")
		proxy.Heal("")
		return nil
	}
}

// drainEngine starts draining an engine and removes it at the end of the fault.
func drainEngine(d *deployment.Deployment, f Fault) func() error {
	e := d.Engines[f.TargetIndex%len(d.Engines)]
	e.StartDraining()
	return func() error {
		e.Deregister(e.Crash())
		return nil
	}
}

func killInstance(d *deployment.Deployment, f Fault) func() error {
	d.Instances[f.TargetIndex%len(d.Instances)].Process().Kill()
	return nothingToUndo
}

func killAll(d *deployment.Deployment, _ Fault) func() error {
	for _, instance := range d.Instances {
		instance.Process().Kill()
	}
	return nothingToUndo
}

func stopInstance(d *deployment.Deployment, f Fault) func() error {
	d.Instances[f.TargetIndex%len(d.Instances)].Process().Terminate()
	return nothingToUndo
}

func pauseInstance(d *deployment.Deployment, f Fault) func() error {
	process := d.Instances[f.TargetIndex%len(d.Instances)].Process()
	process.Pause()
	return func() error {
		process.Continue()
		return nil
	}
}

func cutStore(d *deployment.Deployment, f Fault) func() error {
	proxy := d.Instances[f.TargetIndex%len(d.Instances)].StoreProxy
	proxy.Cut("")
	proxy.Freeze("", true, cutproxy.Up, cutproxy.Down)
	return func() error {
		proxy.Cut("")
		proxy.Heal("")
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
	d.Store.SetDelay(slowStoreDelay)
	return func() error {
		d.Store.SetDelay(0)
		return nil
	}
}
