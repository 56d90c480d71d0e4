package placement

import (
	"cmp"
	"slices"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Kind is what one kind of backend server does for one service.
type Kind struct {
	Name         string
	Speed        float64 // relative rate; 1 is the fastest kind
	MemoryLayers int     // how many of the service's layers fit
}

// Service is what one service asks for.
type Service struct {
	ID       state.ServiceID
	Model    string
	Version  string
	Layers   int
	Replicas int
	Kinds    []Kind // kinds not listed can't serve it
}

// Server is one backend server that may hold layers.
type Server struct {
	ID     state.BackendID
	Kind   string
	Domain state.FailureDomain
	Region state.Region
}

// Links gives the time to move one token's activation between two servers of the
// given failure domains, in layer steps.
type LinkCost func(from, to state.FailureDomain) float64

// Input is a site. Servers that are leaving or dead are not in it.
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

// Chain holds the layers of one service, each once.
type Chain struct {
	Service    state.ServiceID
	Model      string
	Version    string
	Stages     []Stage
	Bottleneck float64
}

// Layout is where everything is.
type Layout struct {
	Chains []Chain
	// Missing counts the replicas of each service for which no servers were
	// left.
	Missing map[state.ServiceID]int
}

// LayersToLoad counts the layers that servers must load to get from old to l.
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

// bottleneck computes a chain's slowest stage under links.
func (s *site) bottleneck(service *Service, stages []Stage) float64 {
	worst := 0.0
	for i, st := range stages {
		from := s.servers[st.Backend]
		t := float64(st.Layers.Len()) / s.kind(service, from).Speed
		if i+1 < len(stages) {
			t += s.links(from.Domain, s.servers[stages[i+1].Backend].Domain)
		}
		worst = max(worst, t)
	}
	return worst
}

// site is an Input indexed for the search, with the servers still free.
type site struct {
	links    LinkCost
	servers  map[state.BackendID]*Server
	services map[state.ServiceID]*Service
	order    []*Service
	kinds    map[kindKey]Kind
	domains  []domain
	free     map[poolKey][]*Server
	chains   map[domainKey]int // chains of a service with a stage in a domain
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

func newSite(in Input) *site {
	s := &site{
		links:    in.LinkCost,
		servers:  make(map[state.BackendID]*Server, len(in.Servers)),
		services: make(map[state.ServiceID]*Service, len(in.Services)),
		kinds:    make(map[kindKey]Kind),
		free:     make(map[poolKey][]*Server),
		chains:   make(map[domainKey]int),
	}
	for i := range in.Services {
		svc := &in.Services[i]
		s.services[svc.ID] = svc
		s.order = append(s.order, svc)
		for _, k := range svc.Kinds {
			if k.Speed > 0 && k.MemoryLayers > 0 {
				s.kinds[kindKey{svc.ID, k.Name}] = k
			}
		}
	}
	slices.SortFunc(s.order, func(a, b *Service) int { return cmp.Compare(a.ID, b.ID) })
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

func (s *site) kind(service *Service, server *Server) Kind {
	return s.kinds[kindKey{service.ID, server.Kind}]
}

// release makes a server free; sortFree must follow before servers are taken.
func (s *site) release(server *Server) {
	k := poolKey{server.Domain, server.Kind}
	s.free[k] = append(s.free[k], server)
}

// sortFree orders each pool so that equal input gives equal layouts.
func (s *site) sortFree() {
	for _, pool := range s.free {
		slices.SortFunc(pool, func(a, b *Server) int { return cmp.Compare(b.ID, a.ID) })
	}
}

// take removes a server from its pool.
func (s *site) take(server *Server) {
	k := poolKey{server.Domain, server.Kind}
	pool := s.free[k]
	for i := len(pool) - 1; i >= 0; i-- {
		if pool[i] == server {
			s.free[k] = slices.Delete(pool, i, i+1)
			return
		}
	}
	panic("placement: a server was taken twice")
}

// add records a chain of servers that are already taken.
func (s *site) add(l *Layout, service *Service, stages []Stage) {
	l.Chains = append(l.Chains, Chain{
		Service: service.ID, Model: service.Model, Version: service.Version,
		Stages: stages, Bottleneck: s.bottleneck(service, stages),
	})
	for _, st := range stages {
		s.chains[domainKey{service.ID, s.servers[st.Backend].Domain}]++
	}
}
