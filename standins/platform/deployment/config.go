package deployment

import (
	"fmt"
	"strings"
	"time"
)

// settingsText returns the settings file of an instance. The addresses are, in this
// order, those for callers, readiness checks, peers and metrics, and that of the
// store proxy. The settings have host and port of the metrics address as ip and
// port-range. The retry baseline is the fleet's number of retries in a window.
// contracts names the parts of the platform's rules that are in force.
func settingsText(instance *Instance, addresses, controlAddresses, contracts []string, retryBaseline int) string {
	seeds := make([]string, 0, 3)
	for _, address := range controlAddresses[:min(3, len(controlAddresses))] {
		seeds = append(seeds, fmt.Sprintf("%q", address))
	}
	metricsHost, metricsPort, _ := strings.Cut(addresses[3], ":")
	return fmt.Sprintf(`node-name = %q
ip = %q
zone = %q
region = "r"
port-range = [%s,%s]
seeds = [%s]
contracts = [%s]
[zones]
d0 = "r"
d1 = "r"
d2 = "r"
[listen]
front = %q
ready = %q
control = %q
[limits]
memory-mb = 284
[bounds]
grace-s = 8
config-apply-ms = 3500
retry-budget-ratio = 0.8
budget-window-s = 10
budget-slack = %d
expose-share = 0.1
expose-slack = 50
rollback-ms = 5000
[provider]
address = %q
`, instance.Name, metricsHost, instance.Domain, metricsPort, metricsPort, strings.Join(seeds, ","), quoted(contracts),
		addresses[0], addresses[1], addresses[2], retryBaseline, addresses[4])
}

// quoted returns the elements of a list in the settings file.
func quoted(list []string) string {
	elements := make([]string, 0, len(list))
	for _, element := range list {
		elements = append(elements, fmt.Sprintf("%q", element))
	}
	return strings.Join(elements, ",")
}

// configuration is the configuration that the operator writes to the store.
type configuration struct {
	Version  uint64          `json:"version"`
	Routes   []routeConfig   `json:"routes"`
	Services []serviceConfig `json:"services"`
	Tenants  []tenantConfig  `json:"tenants"`
}

type routeConfig struct {
	Name             string `json:"name"`
	Host             string `json:"host"`
	PathPrefix       string `json:"path-prefix"`
	Type             string `json:"route-type"`
	TimeoutMS        int    `json:"timeout-ms"`
	TargetLatencyMS  int    `json:"target-latency-ms"`
	TargetEventGapMS int    `json:"gap-aim-ms,omitempty"`
	Service          string `json:"service"`
	MaxAttempts      int    `json:"max-attempts"`
	Resumable        bool   `json:"resumable,omitempty"`
}

type serviceConfig struct {
	Name       string        `json:"name"`
	HealthPath string        `json:"health-check-path"`
	Engine     *engineConfig `json:"engine,omitempty"`
}

type engineConfig struct {
	Slots            int           `json:"slots"`
	KVCapacityTokens int           `json:"kv-capacity-tokens"`
	Backups          bool          `json:"backups"`
	BackupTTLSeconds float64       `json:"handle-s"`
	Models           []modelConfig `json:"models"`
}

type modelConfig struct {
	Name string `json:"name"`
}

type tenantConfig struct {
	Name string   `json:"name"`
	Keys []string `json:"api-keys"`
}

// WriteConfiguration writes the configuration under a new version, which is higher
// than the last one by 1 or 2.
func (d *Deployment) WriteConfiguration() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version += 1 + d.version%3
	d.putConfiguration()
}

// RewriteConfiguration writes the configuration again under its version, as the
// operator does when the store has lost it.
func (d *Deployment) RewriteConfiguration() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.putConfiguration()
}

func (d *Deployment) putConfiguration() {
	d.Store.Put("config", "main", configuration{
		Version: d.version,
		Routes: []routeConfig{
			{Name: "stream", Host: Host, PathPrefix: "/stream/", Type: "streaming", TimeoutMS: int(StreamTimeout.Milliseconds()), TargetLatencyMS: int(FirstEventTarget.Milliseconds()), TargetEventGapMS: int(EventGapTarget.Milliseconds()), Service: "llm", MaxAttempts: 5, Resumable: true},
			{Name: "order", Host: Host, PathPrefix: "/order/", Type: "non_idempotent", TimeoutMS: 1500, TargetLatencyMS: int(DeskLatencyTarget.Milliseconds()), Service: "desk", MaxAttempts: 2},
			{Name: "lookup", Host: Host, PathPrefix: "/lookup/", Type: "idempotent", TimeoutMS: 1500, TargetLatencyMS: int(DeskLatencyTarget.Milliseconds()), Service: "desk", MaxAttempts: 3},
		},
		Services: []serviceConfig{
			{Name: "llm", HealthPath: "/healthz", Engine: &engineConfig{Slots: d.options.EngineParameters.Slots, KVCapacityTokens: d.options.EngineParameters.CapacityTokens, Backups: true, BackupTTLSeconds: 4, Models: []modelConfig{{"m"}}}},
			{Name: "desk", HealthPath: "/healthz"},
		},
		Tenants: []tenantConfig{{Name: Account, Keys: append([]string(nil), d.apiKeys...)}},
	})
}

// APIKeys returns the valid API keys of the client account.
func (d *Deployment) APIKeys() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.apiKeys...)
}

// ReplaceAPIKey revokes the oldest API key and adds a new one. It returns the
// revoked key and the time after the change was stored.
func (d *Deployment) ReplaceAPIKey() (revoked string, at time.Time) {
	d.mu.Lock()
	d.addedKeys++
	revoked = d.apiKeys[0]
	d.apiKeys = append(d.apiKeys[1:], fmt.Sprintf("key-new-%d", d.addedKeys))
	d.mu.Unlock()
	d.WriteConfiguration()
	return revoked, time.Now()
}
