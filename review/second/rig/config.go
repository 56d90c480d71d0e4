package rig

import (
	"fmt"
	"strings"
)

// Route is a route of the configuration.
type Route struct {
	Prefix, Kind, Service string
	TimeoutMs, Attempts   int
	Extra                 string
}

// Config writes a configuration with a plain service "app" and a model.
func (s *Site) Config(version int, extra string, routes ...Route) {
	var out []string
	for i, r := range routes {
		out = append(out, fmt.Sprintf(`{"Name":"r%d","Host":"h.example","Prefix":%q,"Kind":%q,"TimeoutMs":%d,"Target`+`LatencyMs":100,"Priority":1,"MaxAttempts":%d,"Service":%q%s}`, i, r.Prefix, r.Kind, r.TimeoutMs, r.Attempts, r.Service, r.Extra))
	}
	s.Store.Put("op", "config", fmt.Sprintf(`{"Version":%d,"Routes":[%s],
 "Services":[{"Name":"app","MaxConns":110,"HealthPath":"/healthz"},{"Name":"model","MaxConns":1078,"HealthPath":"/healthz","Engine":{"Kv`+`CapacityTokens":100000,"KvTokenBytes":459000,"Layers":80,"LayerMb":1750,"ActivationBytes":22900,
  "PipeMbps":7900,"step_ms":0.85,"per_seq_ms":0.003,"context_per_k":0.004,"read_per_s":252000,"Stride":2,"Models":[{"LoadS":14}],
  "Kinds":[{"Name":"card","SizeMb":150000,"pace":1,"ReadX":1}]}}],
 "Limits":{"MaxBodyBytes":4194304,"MaxHeaderBytes":16384,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}%s}`, version, strings.Join(out, ","), extra))
}

// List writes the entry of a server.
func (s *Site) List(srv *Server, service, state, extra string) {
	s.Store.Put("servers", srv.ID, fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":"a","Version":"v1","Slots":6,"State":%q,"Cold`+`RemainingMs":0,"Seq":1,"born":%d%s}`, service, srv.Address, state, srv.Born, extra))
}

// ListProcess writes the entry of a server in a process of its own.
func (s *Site) ListProcess(p *ServerProcess, service string, slots int, extra string) {
	s.Store.Put("servers", p.ID, fmt.Sprintf(`{"Service":%q,"Address":%q,"Zone":"a","Version":"v1","Slots":%d,"State":"ready","Cold`+`RemainingMs":0,"Seq":1,"born":%d%s}`, service, p.Address, slots, p.Born, extra))
}
