package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/following"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Status is what a gateway goes by at one moment. It holds no caller's key.
type Status struct {
	Daemon   state.DaemonID  `json:"daemon"`
	Ready    bool            `json:"ready"`
	Draining bool            `json:"draining"`
	Streams  int             `json:"streams"` // that it passes on
	Config   FeedStatus      `json:"config"`
	Servers  FeedStatus      `json:"servers"`
	Lease    LeaseStatus     `json:"lease"`
	Members  []MemberStatus  `json:"members"`
	Services []ServiceStatus `json:"services"`
}

// FeedStatus is how current a gateway's view of a feed is.
type FeedStatus struct {
	Version    uint64  `json:"version,omitempty"` // of the configuration
	Revision   uint64  `json:"revision"`
	AgeSeconds float64 `json:"age_seconds"` // since it was known to be the newest
	Source     string  `json:"source"`
}

// LeaseStatus is this gateway's part in ordering layers.
type LeaseStatus struct {
	Held          bool                `json:"held"`
	Fence         state.FencingNumber `json:"fence,omitempty"`
	PendingOrders int                 `json:"orders_under_way"`
}

// MemberStatus is one gateway as this one sees it.
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
	RetriesLeft     int                   `json:"retries_left"`     // of this gateway's part of the budget
	Servers         []ServerStatus        `json:"servers"`
	LayerCopies     map[string]int        `json:"copies,omitempty"` // of each run of layers, by "FROM-TO"
}

// ServerStatus is one backend server as this gateway sees it.
type ServerStatus struct {
	ID             state.BackendID     `json:"id"`
	Address        string              `json:"address"`
	Domain         state.FailureDomain `json:"domain"`
	Kind           string              `json:"kind,omitempty"`
	Layers         string              `json:"layers,omitempty"`
	Draining       bool                `json:"draining"`
	Dead           bool                `json:"dead"`            // it answers no probe
	Avoided        bool                `json:"avoided"`         // it failed of late
	Outdated       bool                `json:"outdated"`        // it has contradicted its entry
	Refusing       bool                `json:"refusing"`        // it is leaving, and not listed so
	Limit          string              `json:"limit,omitempty"` // of requests that it names
	Requests       float64             `json:"requests"`
	ReservedTokens float64             `json:"tokens"`         // held for this gateway's requests
	CapacityTokens int                 `json:"room,omitempty"` // for the tokens of all gateways
}

// Status returns what the gateway goes by. ctx bounds the wait for its control
// goroutine.
func (g *Gateway) Status(ctx context.Context) (Status, error) {
	now := time.Now()
	v := g.current.Load()
	s := Status{Daemon: g.self.ID, Ready: v.ready(), Draining: v.draining}
	s.Streams, _ = g.book.sizes()
	asked := make(chan struct{})
	go g.control.post(func() { // it may wait for room in the inbox for longer than ctx
		s.Config, s.Servers = g.control.configs.status(now), g.control.entries.status(now)
		s.Lease = g.control.duty.status(now)
		close(asked)
	})
	select {
	case <-asked:
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
	s.Services = g.book.services(now, v)
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
		_ = json.NewEncoder(w).Encode(s) // whoever asked has left
	})
}

// status is how current this part's view is.
func (p *feedPart[T]) status(now time.Time) FeedStatus {
	revision, _ := p.m.Revision()
	return FeedStatus{
		Revision:   revision,
		AgeSeconds: p.m.Age(now).Seconds(),
		Source:     sourceNames[following.Mode(p.mode.Load())],
	}
}

// status is this daemon's part in ordering layers.
func (p *dutyPart) status(now time.Time) LeaseStatus {
	s := LeaseStatus{Held: p.m.HoldsLease(now), PendingOrders: p.m.PendingOrders()}
	if s.Held {
		s.Fence = p.m.Fence()
	}
	return s
}

// services lists all services of a view, by name.
func (b *book) services(now time.Time, v *view) []ServiceStatus {
	if v.config == nil {
		return nil
	}
	var out []ServiceStatus
	for id, svc := range v.config.Services {
		s := b.service(now, v, &svc)
		slices.SortFunc(s.Servers, func(x, y ServerStatus) int { return strings.Compare(x.Address, y.Address) })
		if svc.Engine != nil {
			s.cover(svc.Engine, v.servers[id])
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y ServiceStatus) int { return strings.Compare(string(x.ID), string(y.ID)) })
	return out
}

// service is what is known of a service and its servers, in any order.
func (b *book) service(now time.Time, v *view, svc *fleet.Service) ServiceStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	avoided := b.suspects.Avoided(now)
	s := ServiceStatus{ID: svc.ID, RetriesLeft: b.budget.Left(now, svc.ID, v.sharers)}
	for i := range v.servers[svc.ID] {
		s.Servers = append(s.Servers, b.server(now, &v.servers[svc.ID][i], svc.Engine, avoided))
	}
	return s
}

func (b *book) server(now time.Time, s *fleet.Server, e *fleet.Engine, avoided map[string]bool) ServerStatus {
	load := b.load(s.Life())
	out := ServerStatus{
		ID: s.ID, Address: s.Address, Domain: s.Domain, Kind: s.Kind, Draining: s.Draining,
		Dead: b.buried[s.Address], Avoided: avoided[s.Address], Outdated: b.suspects.IsOutdated(now, s),
		Refusing: b.suspects.IsLeaving(now, s.Life()),
		Requests: load.Requests, ReservedTokens: load.Tokens,
	}
	if limit := b.permits.LimitOf(s.Life()); limit.Named {
		out.Limit = limit.String()
	}
	if e != nil && s.Layers.Len() > 0 {
		out.Layers = s.Layers.String()
		out.CapacityTokens = e.Room(e.Kinds[s.Kind], s.Layers.Len())
	}
	return out
}

// cover fills in which layers are held how often, and by which domains whole.
func (s *ServiceStatus) cover(e *fleet.Engine, servers []fleet.Server) {
	s.Layers = e.Layers
	for d, in := range lo.GroupBy(servers, func(x fleet.Server) state.FailureDomain { return x.Domain }) {
		if cover(e, in).Whole() {
			s.CompleteDomains = append(s.CompleteDomains, d)
		}
	}
	slices.Sort(s.CompleteDomains)
	all := cover(e, servers)
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
