package deployment

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/cutproxy"
	"github.com/hibiscusstair/hibiscusstair/standins/harness"
)

// defaultRetryBaseline is the number of retries in a window, for all instances
// together, that the instances start with.
const defaultRetryBaseline = 150

// Instance is one instance with its last known readiness.
type Instance struct {
	Name          string
	Domain        string
	CallerAddress string
	// StoreProxy is the proxy between the instance and the store.
	StoreProxy *cutproxy.Proxy

	readyAddress string
	settingsPath string
	// settingsText returns the content of the settings file with a retry baseline.
	settingsText func(retryBaseline int) string

	mu        sync.Mutex
	process   *harness.Process
	ready     bool // at the last check
	noRestart bool // the process is not restarted when it exits
}

// Process returns the instance's current process.
func (i *Instance) Process() *harness.Process {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.process
}

func (i *Instance) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.noRestart = true
	if i.process != nil {
		i.process.Continue()
		i.process.Kill()
	}
	_ = i.StoreProxy.Close()
}

func (d *Deployment) startInstances(storeAddress string) error {
	var controlAddresses []string
	for i := range d.options.Instances {
		addresses := make([]string, 5)
		for a := range addresses {
			address, err := harness.FreeAddress()
			if err != nil {
				return err
			}
			addresses[a] = address
		}
		proxy, err := cutproxy.New(addresses[4], storeAddress, nil)
		if err != nil {
			return err
		}
		controlAddresses = append(controlAddresses, addresses[2])
		instance := &Instance{Name: fmt.Sprintf("front-%d", i), Domain: Domain(i), CallerAddress: addresses[0], readyAddress: addresses[1], StoreProxy: proxy}
		instance.settingsPath = filepath.Join(d.options.LogDirectory, instance.Name+".toml")
		knownAddresses := controlAddresses
		instance.settingsText = func(retryBaseline int) string {
			return settingsText(instance, addresses, knownAddresses, d.options.Contracts, retryBaseline)
		}
		if err := instance.WriteSettings(defaultRetryBaseline); err != nil {
			return err
		}
		d.Instances = append(d.Instances, instance)
		if err := d.startInstance(instance); err != nil {
			return err
		}
	}
	return nil
}

// WriteSettings replaces the settings file of the instance by one with a retry baseline.
// It sends no signal.
func (i *Instance) WriteSettings(retryBaseline int) error {
	return os.WriteFile(i.settingsPath, []byte(i.settingsText(retryBaseline)), 0o600)
}

// BreakSettings replaces the settings file by one that is cut off in its middle.
func (i *Instance) BreakSettings() error {
	text := i.settingsText(defaultRetryBaseline)
	return os.WriteFile(i.settingsPath, []byte(text[:len(text)/2]), 0o600)
}

// startInstance starts the process of an instance.
func (d *Deployment) startInstance(instance *Instance) error {
	process, err := harness.StartProcess(d.options.LogDirectory, instance.Name, d.binary, []string{"gateway"}, []string{"HIBISCUSSTAIR_CONFIG=" + instance.settingsPath})
	if err != nil {
		return err
	}
	instance.mu.Lock()
	defer instance.mu.Unlock()
	instance.process = process
	return nil
}

// checkInstance updates the readiness of an instance. If its process has exited, it
// is restarted after restartDelay; the next check of all instances waits for that.
func (d *Deployment) checkInstance(instance *Instance) {
	client := http.Client{Timeout: readinessPollInterval}
	ready := false
	if response, err := client.Get("http://" + instance.readyAddress + "/api/readyz"); err == nil {
		ready = response.StatusCode == http.StatusOK
		_ = response.Body.Close()
	}
	instance.mu.Lock()
	instance.ready = ready
	process, noRestart := instance.process, instance.noRestart
	instance.mu.Unlock()
	if noRestart || process.Alive() {
		return
	}
	time.Sleep(restartDelay)
	if err := d.startInstance(instance); err != nil && d.options.OnError != nil {
		d.options.OnError(fmt.Errorf("restart %s: %w", instance.Name, err))
	}
}
