package placement

import (
	"cmp"
	"slices"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Kind is the performance of one kind of backend server for one service.
type Kind struct {
	Name         string
	Speed        float64 // relative rate; 1 is the fastest kind
	MemoryLayers int     // number of the service's layers that fit
}

// Service is the demand of one service.
type Service struct {
	ID       state.ServiceID
	Model    string
	Version  string
	Layers   int
	Replicas int
	Kinds    []Kind // kinds that are not listed can't serve it
}

// Server is one backend server that may hold layers.
type Server struct {
	ID     state.BackendID
	Kind   string
	Domain state.FailureDomain
	Region state.Region
}

// LinkCost returns the time to transfer one token's activation between two servers
// of the given failure domains, in layer steps.
type LinkCost func(from, to state.FailureDomain) float64

// Input is a site. It does not contain servers that are leaving or dead.
type Input struct {
	Services []Service
	Servers  []Server
	LinkCost LinkCost
}

// Stage is one server's part of a chain.
type Stage struct {
	Backend state.BackendID
	Layers  state.LayerRange
}

// Chain is one replica of a service: its stages hold each layer once.
type Chain struct {
	Service    state.ServiceID
	Model      string
	Version    string
	Stages     []Stage
	Bottleneck float64
}

// Layout is the placement of all services.
type Layout struct {
	Chains []Chain
	// Missing is the number of replicas of each service for which no servers were
	// left.
	Missing map[state.ServiceID]int
}

// LayersToLoad returns the number of layers that servers must load to change from
// old to l.
func (l Layout) LayersToLoad(old Layout) int {
	type held struct {
		model, version string
		layers         state.LayerRange
	}
	before := make(map[state.BackendID]held)
	for _, c := range old.Chains {
		for _, s := range c.Stages {
			before[s.Backend] = held{c.Model, c.Version, s.Layers}
		}
	}
	sum := 0
	for _, c := range l.Chains {
		for _, s := range c.Stages {
			h := before[s.Backend]
			if h.model != c.Model || h.version != c.Version {
				h.layers = state.LayerRange{}
			}
			sum += s.Layers.Len() - overlap(h.layers, s.Layers)
		}
	}
	return sum
}

func overlap(a, b state.LayerRange) int {
	return max(0, min(a.End, b.End)-max(a.First, b.First))
}

// bottleneck returns the time of a chain's slowest stage.
func (s *siteIndex) bottleneck(service *Service, stages []Stage) float64 {
	worst := 0.0
	for i, st := range stages {
		from := s.servers[st.Backend]
		t := float64(st.Layers.Len()) / s.kind(service, from).Speed
		if i+1 < len(stages) {
			t += s.linkCost(from.Domain, s.servers[stages[i+1].Backend].Domain)
		}
		worst = max(worst, t)
	}
	return worst
}

// siteIndex is an Input indexed for the search, with the servers that are still
// free.
type siteIndex struct {
	linkCost     LinkCost
	servers      map[state.BackendID]*Server
	services     map[state.ServiceID]*Service
	servicesByID []*Service
	kinds        map[kindKey]Kind
	domains      []domain
	free         map[poolKey][]*Server
	stagesIn     map[domainKey]int // stages of a service's chains in a domain
}

type kindKey struct {
	service state.ServiceID
	kind    string
}

type poolKey struct {
	domain state.FailureDomain
	kind   string
}

type domainKey struct {
	service state.ServiceID
	domain  state.FailureDomain
}

type domain struct {
	name   state.FailureDomain
	region state.Region
}

func newSiteIndex(in Input) *siteIndex {
	s := &siteIndex{
		linkCost: in.LinkCost,
		servers:  make(map[state.BackendID]*Server, len(in.Servers)),
		services: make(map[state.ServiceID]*Service, len(in.Services)),
		kinds:    make(map[kindKey]Kind),
		free:     make(map[poolKey][]*Server),
		stagesIn: make(map[domainKey]int),
	}
	for i := range in.Services {
		svc := &in.Services[i]
		s.services[svc.ID] = svc
		s.servicesByID = append(s.servicesByID, svc)
		for _, k := range svc.Kinds {
			if k.Speed > 0 && k.MemoryLayers > 0 {
				s.kinds[kindKey{svc.ID, k.Name}] = k
			}
		}
	}
	slices.SortFunc(s.servicesByID, func(a, b *Service) int { return cmp.Compare(a.ID, b.ID) })
	seen := make(map[state.FailureDomain]bool)
	for i := range in.Servers {
		sv := &in.Servers[i]
		s.servers[sv.ID] = sv
		if !seen[sv.Domain] {
			seen[sv.Domain] = true
			s.domains = append(s.domains, domain{sv.Domain, sv.Region})
		}
	}
	slices.SortFunc(s.domains, func(a, b domain) int { return cmp.Compare(a.name, b.name) })
	return s
}

func (s *siteIndex) kind(service *Service, server *Server) Kind {
	return s.kinds[kindKey{service.ID, server.Kind}]
}

// release makes a server free. Call sortFree before servers are taken again.
func (s *siteIndex) release(server *Server) {
	k := poolKey{server.Domain, server.Kind}
	s.free[k] = append(s.free[k], server)
}

// sortFree sorts each pool, so that equal input gives equal layouts.
func (s *siteIndex) sortFree() {
	for _, pool := range s.free {
		slices.SortFunc(pool, func(a, b *Server) int { return cmp.Compare(b.ID, a.ID) })
	}
}

// take removes a server from its pool.
func (s *siteIndex) take(server *Server) {
	k := poolKey{server.Domain, server.Kind}
	pool := s.free[k]
	for i := len(pool) - 1; i >= 0; i-- {
		if pool[i] == server {
			s.free[k] = slices.Delete(pool, i, i+1)
			return
		}
	}
	panic("placement: take of a server that is not free")
}

// add adds a chain to l. Its servers are already taken.
func (s *siteIndex) add(l *Layout, service *Service, stages []Stage) {
	l.Chains = append(l.Chains, Chain{
		Service: service.ID, Model: service.Model, Version: service.Version,
		Stages: stages, Bottleneck: s.bottleneck(service, stages),
	})
	for _, st := range stages {
		s.stagesIn[domainKey{service.ID, s.servers[st.Backend].Domain}]++
	}
}
