package rig

// The model and the kind of card of the services that answer by streams.
const (
	kindName = "a100s"
	layers   = 80
)

// Route is a route of the operator's configuration.
type Route struct {
	Host, Prefix, Kind, Service string
	TimeoutMs, TargetMs, GapMs  int
	Attempts                    int
	Resumable                   bool
}

// Key is the API key of the only tenant.
const Key = "k-2f7a91c03b"

// Limits bound what clients may send.
const (
	MaxBodyBytes  = 4 << 20
	IdleTimeoutMs = 15000
)

// Config returns a configuration. engines are the services that answer by streams.
func Config(version int, routes []Route, plain, engines []string) map[string]any {
	var rows, services []map[string]any
	for _, r := range routes {
		rows = append(rows, map[string]any{
			"Name": r.Prefix, "Host": r.Host, "Prefix": r.Prefix, "Kind": r.Kind, "Service": r.Service, "TimeoutMs": r.TimeoutMs,
			fieldTarget: r.TargetMs, fieldGap: r.GapMs, "Priority": 1, "MaxAttempts": r.Attempts, "Resumable": r.Resumable,
			"SessionAffinity": r.Kind == "stream",
		})
	}
	for _, name := range plain {
		services = append(services, map[string]any{"Name": name, "MaxConns": 1128, "HealthPath": "/healthz"})
	}
	for _, name := range engines {
		services = append(services, map[string]any{"Name": name, "MaxConns": 1128, "HealthPath": "/healthz", "Engine": map[string]any{
			"Kv" + "CapacityTokens": 100000, "KvTokenBytes": 459000.0, "Layers": layers, "LayerMb": 1750.0, "ActivationBytes": 22900.0,
			"PipeMbps": 7900.0, "step_ms": 0.85, "per_seq_ms": 0.00297, "context_per_k": 0.00398, "read_per_s": 252000.0, "Stride": 2,
			"Models": []map[string]any{{"Name": "m0", "LoadS": 14.0}},
			"Kinds":  []map[string]any{{"Name": kindName, "SizeMb": 200000.0, "pace": 3.1, "ReadX": 3.2}},
		}})
	}
	return map[string]any{
		"Version": version, "Routes": rows, "Services": services,
		"Limits":  map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": MaxBodyBytes, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": IdleTimeoutMs},
		"Tenants": []map[string]any{{"Name": "tenant-1", "ApiKeys": []string{Key}}},
	}
}
