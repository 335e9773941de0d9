package soak

import (
	"fmt"
	"strings"
	"time"
)

// settingsText is the platform's settings file of an instance. Addresses are
// those for callers, readiness, control and metrics, and the store's.
func settingsText(n *node, addresses, controls []string) string {
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
`, n.name, metricsHost, n.domain, metricsPort, metricsPort, strings.Join(seeds, ","),
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

// configure writes the next version of the configuration.
func (s *soak) configure() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 1 + uint64(s.version%3)
	s.store.Put("config", "main", manifest{
		Version: s.version,
		Routes: []manifestRoute{
			{Name: "stream", Host: host, Prefix: "/stream/", Type: "streaming", TimeoutMS: 10000, TargetMS: 2000, GapMS: 700, Service: "llm", MaxAttempts: 5, Resumable: true},
			{Name: "order", Host: host, Prefix: "/order/", Type: "non_idempotent", TimeoutMS: 1500, TargetMS: 200, Service: "desk", MaxAttempts: 2},
			{Name: "lookup", Host: host, Prefix: "/lookup/", Type: "idempotent", TimeoutMS: 1500, TargetMS: 200, Service: "desk", MaxAttempts: 3},
		},
		Services: []manifestService{
			{Name: "llm", HealthPath: "/healthz", Engine: &manifestEngine{Slots: 16, Capacity: 88000, Backups: true, HandleS: 4, Models: []manifestModel{{"m"}}}},
			{Name: "desk", HealthPath: "/healthz"},
		},
		Tenants: []manifestTenant{{Name: account, Keys: append([]string(nil), s.keys...)}},
	})
}

// revoke takes one key away, as long as enough are left, and adds another.
func (s *soak) revoke() {
	s.mu.Lock()
	s.sequence++
	gone := s.keys[0]
	s.keys = append(s.keys[1:], fmt.Sprintf("key-new-%d", s.sequence))
	s.mu.Unlock()
	s.configure()
	s.mu.Lock()
	s.removed[gone] = time.Now()
	s.mu.Unlock()
}
