package main

// Names of the config that all cases use.
const (
	host       = "ficu95.example"
	apiKey     = "n2ctnfzs989anu6wsjnb"
	tenantName = "hule930"
	smallModel = "daka510000"
)

// engine describes the model runners of a service.
func engine() map[string]any {
	return map[string]any{
		"slots": 48, "kv-capacity-tokens": 553448, "kv-bytes": 35136, "link-mbps": 550000.0, "migrations": true, "backups": true, "stride": 7, "most": 12,
		"pin-ms": 4000.0, "hold-ms": 2000.0, "session-ttl-s": 5.0, "models": []map[string]any{{"name": smallModel, "cost": 0.017}},
	}
}

// config returns a config with one tenant.
func config(version int, routes, services []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits":  map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants": []map[string]any{{"name": tenantName, "api-keys": []string{apiKey}, "priority": 1}},
	}
}

func modelService(name string) map[string]any {
	return map[string]any{"name": name, "health-path": "/healthz", "max-connections": 330, "protocol": "h1", "tls": false, "engine": engine()}
}

func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health-path": "/healthz", "max-connections": 130, "protocol": "h1", "tls": false}
}
