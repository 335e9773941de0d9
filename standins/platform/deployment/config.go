package deployment

import (
	"fmt"
	"strings"
	"time"
)

// settingsText is the platform's settings file of an instance. Addresses are
// those for callers, readiness, control and metrics, and the store's.
func settingsText(n *Node, addresses, controls []string) string {
	seeds := make([]string, 0, 3)
	for _, control := range controls[:min(3, len(controls))] {
		seeds = append(seeds, fmt.Sprintf("%q", control))
	}
	metricsHost, metricsPort, _ := strings.Cut(addresses[3], ":")
	return fmt.Sprintf(`node-name = %q
ip = %q
zone = %q
region = "r"
port-range = [%s,%s]
seeds = [%s]
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
retry-budget-ratio = 0.8
budget-window-s = 10
budget-slack = 150
[provider]
address = %q
`, n.Name, metricsHost, n.Domain, metricsPort, metricsPort, strings.Join(seeds, ","),
		addresses[0], addresses[1], addresses[2], addresses[4])
}

// manifest is the operator's configuration.
type manifest struct {
	Version  uint64            `json:"version"`
	Routes   []manifestRoute   `json:"routes"`
	Services []manifestService `json:"services"`
	Tenants  []manifestTenant  `json:"tenants"`
}

type manifestRoute struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"path-prefix"`
	Type        string `json:"route-type"`
	TimeoutMS   int    `json:"timeout-ms"`
	TargetMS    int    `json:"target-latency-ms"`
	GapMS       int    `json:"gap-aim-ms,omitempty"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max-attempts"`
	Resumable   bool   `json:"resumable,omitempty"`
}

type manifestService struct {
	Name       string          `json:"name"`
	HealthPath string          `json:"health-check-path"`
	Engine     *manifestEngine `json:"engine,omitempty"`
}

type manifestEngine struct {
	Slots    int             `json:"slots"`
	Capacity int             `json:"kv-capacity-tokens"`
	Backups  bool            `json:"backups"`
	HandleS  float64         `json:"handle-s"`
	Models   []manifestModel `json:"models"`
}

type manifestModel struct {
	Name string `json:"name"`
}

type manifestTenant struct {
	Name string   `json:"name"`
	Keys []string `json:"api-keys"`
}

// Configure writes the next version of the configuration.
func (d *Deployment) Configure() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version += 1 + d.version%3
	d.Store.Put("config", "main", manifest{
		Version: d.version,
		Routes: []manifestRoute{
			{Name: "stream", Host: Host, Prefix: "/stream/", Type: "streaming", TimeoutMS: int(StreamTimeout.Milliseconds()), TargetMS: int(StreamTarget.Milliseconds()), GapMS: int(StreamGap.Milliseconds()), Service: "llm", MaxAttempts: 5, Resumable: true},
			{Name: "order", Host: Host, Prefix: "/order/", Type: "non_idempotent", TimeoutMS: 1500, TargetMS: int(DeskTarget.Milliseconds()), Service: "desk", MaxAttempts: 2},
			{Name: "lookup", Host: Host, Prefix: "/lookup/", Type: "idempotent", TimeoutMS: 1500, TargetMS: int(DeskTarget.Milliseconds()), Service: "desk", MaxAttempts: 3},
		},
		Services: []manifestService{
			{Name: "llm", HealthPath: "/healthz", Engine: &manifestEngine{Slots: d.o.Model.Slots, Capacity: d.o.Model.Capacity, Backups: true, HandleS: 4, Models: []manifestModel{{"m"}}}},
			{Name: "desk", HealthPath: "/healthz"},
		},
		Tenants: []manifestTenant{{Name: Account, Keys: append([]string(nil), d.keys...)}},
	})
}

// Keys returns the keys of the account.
func (d *Deployment) Keys() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.keys...)
}

// Revoke takes one key away, adds another, and returns the one that is gone and
// when the store had its removal.
func (d *Deployment) Revoke() (gone string, at time.Time) {
	d.mu.Lock()
	d.added++
	gone = d.keys[0]
	d.keys = append(d.keys[1:], fmt.Sprintf("key-new-%d", d.added))
	d.mu.Unlock()
	d.Configure()
	return gone, time.Now()
}
