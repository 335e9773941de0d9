//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/hibiscusstair/hibiscusstair/standins/harness"
	"github.com/hibiscusstair/hibiscusstair/standins/platform/world"
)

const (
	// host is the host of all routes, account the client account and apiKey its key.
	host    = "service.example"
	account = "acme"
	apiKey  = "key-1"
	// readyTimeout is the time in which all instances have to become ready.
	readyTimeout = 15 * time.Second
	// stopWait is how long an instance is given at the end of a case before it is killed.
	stopWait = time.Second
)

// zones are the failure domains of the deployment, all in one region.
var zones = []string{"zone-a", "zone-b", "zone-c"}

// fleet is a store with real instances.
type fleet struct {
	store *world.Store
	// storeAddr is the address of the store, and gates the paths of single instances to it by
	// their index.
	storeAddr string
	gates     map[int]*storeGate
	// staleSeeds says that the seeds in the settings are addresses that nobody has any more.
	staleSeeds bool
	instances  []*instance
	// services are further services of model engines, and tenants further ones with their keys.
	services []string
	tenants  map[string]string
	rec      *record
}

// instance is one process of the system.
type instance struct {
	name, zone             string
	front, ready, settings string
	command                *exec.Cmd
	exited                 chan struct{}
}

// startStore starts a store that callers of put have to fill before startInstances.
func startStore(rec *record) (*fleet, error) {
	f := &fleet{store: world.NewStore(), rec: rec}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f.storeAddr = listener.Addr().String()
	go func() { _ = http.Serve(listener, f.store) }()
	return f, nil
}

// startInstances starts the instances and waits until they are ready.
func (f *fleet) startInstances(s setting, count int) error {
	type addresses struct{ front, ready, control string }
	var all []addresses
	var seeds []string
	for range count {
		var a addresses
		for _, field := range []*string{&a.front, &a.ready, &a.control} {
			free, err := harness.FreeAddress()
			if err != nil {
				return err
			}
			*field = free
		}
		all = append(all, a)
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", a.control))
		}
	}
	if f.staleSeeds {
		stale, err := harness.FreeAddress()
		if err != nil {
			return err
		}
		seeds = []string{fmt.Sprintf("%q", stale)}
	}
	for i, a := range all {
		store := f.storeAddr
		if gate := f.gates[i]; gate != nil {
			store = gate.address
		}
		in := &instance{name: fmt.Sprintf("front-%d", i+1), zone: zones[i%len(zones)], front: a.front, ready: a.ready}
		in.settings = filepath.Join(s.directory, in.name+".toml")
		text := settingsText(in, a.control, strings.Join(seeds, ","), store)
		if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := in.start(s.directory); err != nil {
			return err
		}
		f.instances = append(f.instances, in)
	}
	return f.awaitReady()
}

func settingsText(in *instance, control, seeds, store string) string {
	return fmt.Sprintf(`node-name = %q
role = "gateway"
machine-class = "front"
serves = ["front","control"]
ip = "127.0.0.1"
zone = %q
region = "region-1"
port-range = [0,0]
seeds = [%s]
bootstrap = true
discovery = "platform"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform"]
[zones]
zone-a = "region-1"
zone-b = "region-1"
zone-c = "region-1"
[listen]
front = %q
ready = %q
control = %q
[limits]
memory-mb = 284
max-fds = 4100
link-mbps = 1000.0
[bounds]
contact-ms = 3000
drain-ms = %d
grace-s = %d
config-apply-ms = %d
retry-budget-ratio = 0.8
budget-window-s = 10
budget-slack = 150
[provider]
address = %q
form = "objects"
`, in.name, in.zone, seeds, in.front, in.ready, control,
		drainBound.Milliseconds(), graceSeconds, configApplyBound.Milliseconds(), store)
}

// start starts the process with the command of the deploy file.
func (in *instance) start(directory string) error {
	log, err := os.OpenFile(filepath.Join(directory, in.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	in.command = exec.Command("target/hibiscusstair", "gateway")
	in.command.Stdout, in.command.Stderr = log, log
	in.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), name("settings") + "=" + in.settings}
	in.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := in.command.Start(); err != nil {
		return err
	}
	in.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(in.command, in.exited)
	return nil
}

// running reports whether the process runs.
func (in *instance) running() bool {
	select {
	case <-in.exited:
		return false
	default:
		return true
	}
}

func (f *fleet) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, in := range f.instances {
		for !in.isReady() {
			if time.Now().After(deadline) || !in.running() {
				return errors.New(in.name + " did not become ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// isReady asks the instance as the platform does.
func (in *instance) isReady() bool {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+in.ready+"/api/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// stop ends all instances.
func (f *fleet) stop() {
	for _, in := range f.instances {
		_ = in.command.Process.Signal(syscall.SIGCONT)
		_ = in.command.Process.Kill()
		select {
		case <-in.exited:
		case <-time.After(stopWait):
		}
	}
}

// route is a route of the manifest.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"path-prefix"`
	Type        string `json:"route-type"`
	TimeoutMS   int    `json:"timeout-ms"`
	TargetMS    int    `json:"target-latency-ms"`
	GapMS       int    `json:"gap-aim-ms,omitempty"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max-attempts"`
	Resumable   bool   `json:"resumable,omitempty"`
	Sticky      bool   `json:"sticky,omitempty"`
}

// Names of the services: model engines and a plain service.
const (
	modelService = "narrator-pool"
	plainService = "counter-desk"
)

// putManifest writes the manifest.
func (f *fleet) putManifest(version int, routes []route) {
	services := []map[string]any{{"name": plainService, "max-connections": 110, "health-check-path": "/healthz"}}
	for _, service := range append([]string{modelService}, f.services...) {
		services = append(services, map[string]any{"name": service, "max-connections": 370, "health-check-path": "/healthz", "engine": map[string]any{
			"slots": 64, "kv-capacity-tokens": 88000, "backups": true, "handle-s": 4.0,
			"models": []map[string]any{{"name": "m"}},
		}})
	}
	tenants := []map[string]any{{"name": account, "api-keys": []string{apiKey}}}
	for tenant, key := range f.tenants {
		tenants = append(tenants, map[string]any{"name": tenant, "api-keys": []string{key}})
	}
	f.store.Put("config", "main", map[string]any{
		"version":  version,
		"routes":   routes,
		"services": services,
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 15000},
		"tenants":  tenants,
	})
	f.rec.line("manifest %d accepted by the store", version)
}
