package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/availability"
	"github.com/hibiscuswick/hibiscuswick/coordination/following"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Status is a snapshot of the state that a gateway uses. It contains no API keys.
type Status struct {
	Daemon   state.DaemonID  `json:"daemon"`
	Ready    bool            `json:"ready"`
	Draining bool            `json:"draining"`
	Streams  int             `json:"streams"` // streams in flight
	Config   FeedStatus      `json:"config"`
	Servers  FeedStatus      `json:"servers"`
	Lease    LeaseStatus     `json:"lease"`
	Members  []MemberStatus  `json:"members"`
	Services []ServiceStatus `json:"services"`
}

// FeedStatus says how current a gateway's view of a feed is.
type FeedStatus struct {
	Version    uint64  `json:"version,omitempty"` // of the configuration
	Revision   uint64  `json:"revision"`
	AgeSeconds float64 `json:"age_seconds"` // time since the view was known to be current
	Source     string  `json:"source"`
}

// LeaseStatus is this gateway's role in the layer assignment.
type LeaseStatus struct {
	Held          bool                `json:"held"`
	Fence         state.FencingNumber `json:"fence,omitempty"`
	PendingOrders int                 `json:"orders_under_way"`
}

// MemberStatus is one gateway as seen by this one.
type MemberStatus struct {
	ID       state.DaemonID      `json:"id"`
	State    string              `json:"state"`
	Draining bool                `json:"draining"`
	Address  string              `json:"address"`
	Domain   state.FailureDomain `json:"domain"`
}

// ServiceStatus is one service and its backend servers.
type ServiceStatus struct {
	ID              state.ServiceID       `json:"id"`
	Layers          int                   `json:"layers,omitempty"` // of its model
	UncoveredLayers int                   `json:"uncovered"`        // layers that no server holds
	CompleteDomains []state.FailureDomain `json:"whole"`            // domains that hold every layer by themselves
	RetriesLeft     int                   `json:"retries_left"`     // of this gateway's share of the budget
	Servers         []ServerStatus        `json:"servers"`
	LayerCopies     map[string]int        `json:"copies,omitempty"` // number of copies of each range of layers, by "FROM-TO"
	Shares          *ShareStatus          `json:"shares,omitempty"` // how customers stand while the service is contended
}

// ServerStatus is one backend server as seen by this gateway.
type ServerStatus struct {
	ID             state.BackendID     `json:"id"`
	Address        string              `json:"address"`
	Domain         state.FailureDomain `json:"domain"`
	Kind           string              `json:"kind,omitempty"`
	Layers         string              `json:"layers,omitempty"`
	Draining       bool                `json:"draining"`
	Dead           bool                `json:"dead"`                  // it answers no probe
	Avoided        bool                `json:"avoided"`               // it failed recently
	Ejected        bool                `json:"ejected"`               // a plain server that fails while others answer
	Outdated       bool                `json:"outdated"`              // it has contradicted its list entry
	Refusing       bool                `json:"refusing"`              // it is leaving, and not listed as such
	Departing      bool                `json:"departing"`             // it states that it is leaving
	RetryAfter     float64             `json:"retry_after,omitempty"` // seconds for which it wants no requests of this gateway
	Limit          string              `json:"limit,omitempty"`       // the request limit that it names
	Requests       float64             `json:"requests"`
	ReservedTokens float64             `json:"tokens"`         // reserved for this gateway's requests
	CapacityTokens int                 `json:"room,omitempty"` // for the tokens of all gateways
}

// Status returns a snapshot of the gateway's state. ctx limits the wait for the control
// goroutine.
func (g *Gateway) Status(ctx context.Context) (Status, error) {
	now := time.Now()
	v := g.currentView.Load()
	s := Status{Daemon: g.self.ID, Ready: v.ready(), Draining: v.draining}
	s.Streams, _ = g.shared.counts()
	answered := make(chan struct{})
	go g.control.post(func() { // the inbox may be full for longer than ctx lasts
		s.Config, s.Servers = g.control.configFeed.status(now), g.control.serverFeed.status(now)
		s.Lease = g.control.assignment.status(now)
		close(answered)
	})
	select {
	case <-answered:
	case <-ctx.Done():
		return Status{}, ctx.Err()
	case <-g.done:
		return Status{}, context.Canceled
	}
	if v.config != nil {
		s.Config.Version = v.config.Version
	}
	for _, i := range v.members.Members {
		s.Members = append(s.Members, MemberStatus{
			ID: i.Member.ID, State: i.State.String(), Draining: i.Draining, Address: i.Meta.CallerAddress, Domain: i.Meta.Domain,
		})
	}
	s.Services = g.shared.services(now, v)
	for i := range s.Services {
		s.Services[i].Shares = g.shares.status(now, s.Services[i].ID)
	}
	return s, nil
}

// StatusHandler serves Status as JSON, for operators.
func (g *Gateway) StatusHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s, err := g.Status(r.Context())
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s) // the client has disconnected
	})
}

// status returns how current this feed is.
func (f *feedTracker[T]) status(now time.Time) FeedStatus {
	revision, _ := f.machine.Revision()
	return FeedStatus{
		Revision:   revision,
		AgeSeconds: f.machine.Age(now).Seconds(),
		Source:     sourceNames[following.Mode(f.mode.Load())],
	}
}

// status returns this daemon's role in the layer assignment.
func (s *assignmentState) status(now time.Time) LeaseStatus {
	status := LeaseStatus{Held: s.machine.HoldsLease(now), PendingOrders: s.machine.PendingOrders()}
	if status.Held {
		status.Fence = s.machine.Fence()
	}
	return status
}

// services returns all services of a view, ordered by name.
func (s *sharedState) services(now time.Time, v *view) []ServiceStatus {
	if v.config == nil {
		return nil
	}
	var out []ServiceStatus
	for id, svc := range v.config.Services {
		status := s.service(now, v, &svc)
		slices.SortFunc(status.Servers, func(x, y ServerStatus) int { return strings.Compare(x.Address, y.Address) })
		if svc.Engine != nil {
			status.setCoverage(svc.Engine, v.servers[id])
		}
		out = append(out, status)
	}
	slices.SortFunc(out, func(x, y ServiceStatus) int { return strings.Compare(string(x.ID), string(y.ID)) })
	return out
}

// service returns the state of a service and its servers, in any order.
func (s *sharedState) service(now time.Time, v *view, svc *fleet.Service) ServiceStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	avoided := s.suspects.Avoided(now)
	status := ServiceStatus{ID: svc.ID, RetriesLeft: s.budget.Left(now, svc.ID, v.slackShare)}
	for i := range v.servers[svc.ID] {
		status.Servers = append(status.Servers, s.server(now, &v.servers[svc.ID][i], svc, avoided))
	}
	return status
}

func (s *sharedState) server(now time.Time, srv *fleet.Server, svc *fleet.Service, avoided map[string]bool) ServerStatus {
	e := svc.Engine
	load := s.loadOn(srv.Incarnation())
	out := ServerStatus{
		ID: srv.ID, Address: srv.Address, Domain: srv.Domain, Kind: srv.Kind, Draining: srv.Draining,
		Dead: s.dead[srv.Address], Avoided: avoided[srv.Address], Outdated: s.suspects.IsOutdated(now, srv),
		Ejected:   s.outliers.Ejected(now, svc.ID, srv.Incarnation(), true),
		Refusing:  s.suspects.IsLeaving(now, srv.Incarnation()),
		Departing: s.availability.Leaving(srv.Incarnation()),
		Requests:  load.Requests, ReservedTokens: load.Tokens,
	}
	if at, ok := s.availability.AvailableAt(now, srv.Incarnation(), availability.Direct); ok {
		out.RetryAfter = at.Sub(now).Seconds()
	}
	if limit := s.permits.LimitOf(srv.Incarnation()); limit.Named {
		out.Limit = limit.String()
	}
	if e != nil && srv.Layers.Len() > 0 {
		out.Layers = srv.Layers.String()
		out.CapacityTokens = e.KVCapacity(e.Kinds[srv.Kind], srv.Layers.Len())
	}
	return out
}

// setCoverage sets the layer coverage: the copies of each layer, and the domains that hold
// all layers.
func (s *ServiceStatus) setCoverage(e *fleet.Engine, servers []fleet.Server) {
	s.Layers = e.Layers
	for d, members := range lo.GroupBy(servers, func(x fleet.Server) state.FailureDomain { return x.Domain }) {
		if layerCoverage(e, members).Complete() {
			s.CompleteDomains = append(s.CompleteDomains, d)
		}
	}
	slices.Sort(s.CompleteDomains)
	all := layerCoverage(e, servers)
	s.UncoveredLayers = all.Missing()
	s.LayerCopies = make(map[string]int)
	for from := 0; from < e.Layers; {
		to := from
		for to < e.Layers && all[to] == all[from] {
			to++
		}
		s.LayerCopies[fleet.Range{From: from, To: to}.String()] = all[from]
		from = to
	}
}
