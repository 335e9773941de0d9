//go:build review

package main

// putManifest writes the operator's manifest, in the form of the sheet of yume-press.
func (l *lab) putManifest(version int) {
	l.store.put("config", "main", map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "r-stream", "host": host, "path-prefix": "/stream/", "route-type": "streaming", "timeout-ms": 25000, "target-latency-ms": 4500, "priority": 1,
				"service": "narrator-pool", "max-attempts": 5, "allow-anonymous": false, "sticky": true, "resumable": true, "gap-aim-ms": 700,
			},
			map[string]any{
				"name": "r-order", "host": host, "path-prefix": "/order/", "route-type": "non_idempotent", "timeout-ms": 1200, "target-latency-ms": 120, "priority": 2,
				"service": "counter-desk", "max-attempts": 1, "allow-anonymous": false,
			},
			map[string]any{
				"name": "r-lookup", "host": host, "path-prefix": "/lookup/", "route-type": "idempotent", "timeout-ms": 1200, "target-latency-ms": 120, "priority": 2,
				"service": "counter-desk", "max-attempts": 2, "allow-anonymous": false,
			},
		},
		"services": []any{
			map[string]any{
				"name": "narrator-pool", "health-check-path": "/healthz", "max-connections": 370, "protocol": "h1", "tls": false,
				"engine": map[string]any{
					"slots": 64, "kv-capacity-tokens": 88000, "kv-token-bytes": 163840, "link-mbps": 140000.0, "moves": true, "backups": true, "stride": 6, "most": 12,
					"pin-ms": 4000.0, "hold-ms": 2000.0, "handle-s": 4.0, "models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": "counter-desk", "health-check-path": "/healthz", "max-connections": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api-keys": []any{apiKey}, "priority": 1}},
	})
}
