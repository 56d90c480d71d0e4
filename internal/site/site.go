// Package site runs daemons and stand-ins of all systems around them in one process,
// on loopback ports, for the demo, the measurements and the tests of complete daemons.
package site

import (
	"encoding/json"
	"errors"
	"fmt"

	"github.com/hibiscuswick/hibiscuswick/daemon"
	"github.com/hibiscuswick/hibiscuswick/internal/standin"
	"github.com/hibiscuswick/hibiscuswick/protocol/platform"
	"github.com/hibiscuswick/hibiscuswick/settings"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/service"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// Region is the region of every instance of a site.
const Region state.Region = "kerala-south"

// Domains are the failure domains of a site, assigned to its instances round-robin.
var Domains = []state.FailureDomain{"ernakulam", "kottayam", "alappuzha"}

// Site is a running set of daemons and stand-ins. It is not safe for concurrent use.
type Site struct {
	Platform     *standin.Platform
	Ledger       *standin.Ledger
	Engines      map[state.BackendID]*standin.Engine
	PlainServers map[state.BackendID]*standin.PlainServer
	Daemons      []*daemon.Daemon

	log            *telemetry.Log
	daemonsStarted int // number of daemons started, from which the next ID is derived
}

// New starts the stand-in of the platform. The Add methods start everything else.
func New(log *telemetry.Log) (*Site, error) {
	p, err := standin.StartPlatform()
	if err != nil {
		return nil, err
	}
	return &Site{
		Platform:     p,
		Ledger:       standin.NewLedger(),
		Engines:      make(map[state.BackendID]*standin.Engine),
		PlainServers: make(map[state.BackendID]*standin.PlainServer),
		log:          log,
	}, nil
}

// Close kills the daemons and stops all stand-ins.
func (s *Site) Close() {
	for _, d := range s.Daemons {
		d.Kill()
		<-d.Done()
	}
	for _, e := range s.Engines {
		e.Close()
	}
	for _, p := range s.PlainServers {
		p.Close()
	}
	s.Platform.Close()
}

// Live returns the daemons that have not stopped.
func (s *Site) Live() []*daemon.Daemon {
	var live []*daemon.Daemon
	for _, d := range s.Daemons {
		select {
		case <-d.Done():
		default:
			live = append(live, d)
		}
	}
	return live
}

// domainOf returns the failure domain of the n-th instance of a kind.
func domainOf(n int) state.FailureDomain {
	return Domains[n%len(Domains)]
}

// AddEngine starts an engine and adds it to the instance list.
func (s *Site) AddEngine(cfg standin.EngineConfig, in state.FailureDomain) error {
	cfg.Ledger = s.Ledger
	e, err := standin.StartEngine(cfg)
	if err != nil {
		return err
	}
	s.Engines[cfg.ID] = e
	s.Platform.PutInstance(platform.Instance{
		ID:      state.InstanceID(cfg.ID),
		Role:    platform.RoleEngine,
		Address: e.Address(),
		Kind:    cfg.Kind,
		Domain:  in,
		Region:  Region,
	})
	return nil
}

// AddPlain starts the server of a plain service and adds it to the instance list.
func (s *Site) AddPlain(cfg standin.PlainConfig, in state.FailureDomain) error {
	cfg.Ledger = s.Ledger
	p, err := standin.StartPlain(cfg)
	if err != nil {
		return err
	}
	s.PlainServers[cfg.ID] = p
	s.Platform.PutInstance(platform.Instance{
		ID:      state.InstanceID(cfg.ID),
		Role:    platform.RolePlain,
		Address: p.Address(),
		Domain:  in,
		Region:  Region,
	})
	return nil
}

// AddDaemon starts one daemon and adds it to the instance list. If change is not nil,
// it modifies the site's default settings before the start.
func (s *Site) AddDaemon(change func(*settings.Settings)) (*daemon.Daemon, error) {
	set, err := s.settings(s.daemonsStarted)
	if err != nil {
		return nil, err
	}
	s.daemonsStarted++
	if change != nil {
		change(&set)
	}
	d, err := daemon.New(set, s.log)
	if err != nil {
		return nil, err
	}
	s.Daemons = append(s.Daemons, d)
	s.Platform.PutInstance(platform.Instance{
		ID:      set.Instance,
		Role:    platform.RoleEntry,
		Address: d.PeerAddress(),
		Domain:  set.FailureDomain,
		Region:  Region,
	})
	d.Run()
	return d, nil
}

// settings returns the default settings of the n-th daemon, decoded as from a file.
func (s *Site) settings(n int) (settings.Settings, error) {
	text, err := json.Marshal(map[string]any{
		"id":             fmt.Sprintf("entry-%d", n+1),
		"instance":       fmt.Sprintf("entry-%d", n+1),
		"failure_domain": domainOf(n),
		"region":         Region,
		"peer_address":   "127.0.0.1:0",
		"caller_address": "127.0.0.1:0",
		"platform": map[string]any{
			"table_url":     s.Platform.URL(),
			"objects_url":   s.Platform.URL(),
			"instances_url": s.Platform.URL(),
		},
		"address_answer_valid": "500ms",
		"drain":                map[string]any{"limit": "1m", "notice": "100ms"},
		"store":                map[string]any{"digest_interval": "200ms", "instances_interval": "200ms"},
		"limits": map[string]any{
			"seats": []string{"entry-1", "entry-2", "entry-3"}, "loan_life": "500ms",
		},
		"leases": map[string]any{
			"term": "1s", "longest_order": "700ms", "reconcile": "300ms",
			"drain_spread": "300ms", "report_lag": "100ms",
		},
		"isolation_bound": "2s",
		"peers": map[string]any{
			"probe_interval": "200ms", "probe_timeout": "100ms", "suspicion_timeout": "500ms",
		},
		"backends": map[string]any{"progress_timeout": "1s"},
	})
	if err != nil {
		return settings.Settings{}, err
	}
	set, faults := settings.Decode(text)
	if len(faults) > 0 {
		return settings.Settings{}, errors.New("settings: " + faults[0].String())
	}
	return set, nil
}

// Chains describes replicas with stages of equal size, whose engines are named
// "<prefix>-<replica>-<stage>".
type Chains struct {
	Prefix   string
	Replicas int
	Stages   int
	Layers   int
}

// Engine returns the name of the engine of one stage. Both arguments count from 1.
func (c Chains) Engine(replica, stage int) state.BackendID {
	return state.BackendID(fmt.Sprintf("%s-%d-%d", c.Prefix, replica, stage))
}

// Replica returns the name of one replica, counted from 1.
func (c Chains) Replica(replica int) state.ReplicaID {
	return state.ReplicaID(fmt.Sprintf("%s-%d", c.Prefix, replica))
}

// Range returns the layers of one stage, counted from 1.
func (c Chains) Range(stage int) state.LayerRange {
	return state.LayerRange{First: (stage - 1) * c.Layers / c.Stages, End: stage * c.Layers / c.Stages}
}

// Placement returns the chains as the placement of a service document.
func (c Chains) Placement() service.Placement {
	p := service.Placement{Mode: service.PlacementFixed}
	for r := 1; r <= c.Replicas; r++ {
		chain := service.Chain{ID: c.Replica(r)}
		for st := 1; st <= c.Stages; st++ {
			l := c.Range(st)
			chain.Stages = append(chain.Stages, service.ChainStage{Backend: c.Engine(r, st), First: l.First, End: l.End})
		}
		p.Chains = append(p.Chains, chain)
	}
	return p
}

// AddChains starts the engines of all chains. cfg applies to each engine, except for
// its ID and layers.
func (s *Site) AddChains(c Chains, cfg standin.EngineConfig) error {
	for r := 1; r <= c.Replicas; r++ {
		for st := 1; st <= c.Stages; st++ {
			e := cfg
			e.ID = c.Engine(r, st)
			e.Layers = c.Range(st)
			e.ModelLayers = c.Layers
			if err := s.AddEngine(e, domainOf(r-1)); err != nil {
				return err
			}
		}
	}
	return nil
}

// Spares describes engines without layers, named "<prefix>-<n>" from 1, for services
// whose layers hibiscuswick places.
type Spares struct {
	Prefix        string
	Count         int
	Kind          string
	ChecksFencing bool
	ModelLayers   int // of the model that will be loaded
	Domain        state.FailureDomain
}

// Engine returns the name of the n-th engine, counted from 1.
func (sp Spares) Engine(n int) state.BackendID {
	return state.BackendID(fmt.Sprintf("%s-%d", sp.Prefix, n))
}

// AddSpares starts engines without layers. cfg applies to everything that sp does not
// describe.
func (s *Site) AddSpares(sp Spares, cfg standin.EngineConfig) error {
	for n := 1; n <= sp.Count; n++ {
		e := cfg
		e.ID = sp.Engine(n)
		e.Kind = sp.Kind
		e.ChecksFencing = sp.ChecksFencing
		e.ModelLayers = sp.ModelLayers
		e.Service, e.Model, e.Version = "", "", ""
		e.Layers = state.LayerRange{}
		if err := s.AddEngine(e, sp.Domain); err != nil {
			return err
		}
	}
	return nil
}
