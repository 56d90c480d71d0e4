package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

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
	Version  uint64  `json:"version,omitempty"` // of the configuration
	Revision uint64  `json:"revision"`
	Age      float64 `json:"age_seconds"` // since it was known to be the newest
	Source   string  `json:"source"`
}

// LeaseStatus is this gateway's part in ordering layers.
type LeaseStatus struct {
	Held   bool                `json:"held"`
	Fence  state.FencingNumber `json:"fence,omitempty"`
	Orders int                 `json:"orders_under_way"`
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
	ID          state.ServiceID       `json:"id"`
	Layers      int                   `json:"layers,omitempty"` // of its model
	Uncovered   int                   `json:"uncovered"`        // layers that no server holds
	Whole       []state.FailureDomain `json:"whole"`            // domains that hold every layer by themselves
	RetriesLeft int                   `json:"retries_left"`     // of this gateway's part of the budget
	Servers     []ServerStatus        `json:"servers"`
	Copies      map[string]int        `json:"copies,omitempty"` // of each run of layers, by "FROM-TO"
}

// ServerStatus is one backend server as this gateway sees it.
type ServerStatus struct {
	ID       state.BackendID     `json:"id"`
	Address  string              `json:"address"`
	Domain   state.FailureDomain `json:"domain"`
	Kind     string              `json:"kind,omitempty"`
	Layers   string              `json:"layers,omitempty"`
	Draining bool                `json:"draining"`
	Dead     bool                `json:"dead"`    // it answers no probe
	Avoided  bool                `json:"avoided"` // it failed of late
	Requests float64             `json:"requests"`
	Tokens   float64             `json:"tokens"`         // held for this gateway's requests
	Room     int                 `json:"room,omitempty"` // for the tokens of all gateways
}

// Status returns what the gateway goes by. ctx bounds the wait for its control
// goroutine.
func (g *Gateway) Status(ctx context.Context) (Status, error) {
	now := time.Now()
	v := g.current.Load()
	s := Status{Daemon: g.self.ID, Ready: v.ready(), Draining: v.draining}
	s.Streams, _ = g.book.sizes()
	asked := make(chan struct{})
	go g.control.post(func() {
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
		Revision: revision,
		Age:      p.m.Age(now).Seconds(),
		Source:   sourceNames[following.Mode(p.mode.Load())],
	}
}

// status is this daemon's part in ordering layers.
func (p *dutyPart) status(now time.Time) LeaseStatus {
	s := LeaseStatus{Held: p.m.Holds(now), Orders: p.m.UnderWay()}
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
	b.mu.Lock()
	defer b.mu.Unlock()
	avoided := b.suspects.Avoided(now)
	var out []ServiceStatus
	for id, svc := range v.config.Services {
		s := ServiceStatus{ID: id, RetriesLeft: b.budget.Left(now, id, v.sharers)}
		for i := range v.servers[id] {
			s.Servers = append(s.Servers, b.server(&v.servers[id][i], svc.Engine, avoided))
		}
		slices.SortFunc(s.Servers, func(x, y ServerStatus) int { return strings.Compare(x.Address, y.Address) })
		if svc.Engine != nil {
			s.cover(svc.Engine, v.servers[id])
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(x, y ServiceStatus) int { return strings.Compare(string(x.ID), string(y.ID)) })
	return out
}

func (b *book) server(s *fleet.Server, e *fleet.Engine, avoided map[string]bool) ServerStatus {
	out := ServerStatus{
		ID: s.ID, Address: s.Address, Domain: s.Domain, Kind: s.Kind, Draining: s.Draining,
		Dead: b.buried[s.Address], Avoided: avoided[s.Address],
	}
	if load, ok := b.loads[s.Address]; ok {
		out.Requests, out.Tokens = load.Requests, load.Tokens
	}
	if e != nil && s.Layers.Len() > 0 {
		out.Layers = s.Layers.String()
		out.Room = e.Room(e.Kinds[s.Kind], s.Layers.Len())
	}
	return out
}

// cover fills in which layers are held how often, and by which domains whole.
func (s *ServiceStatus) cover(e *fleet.Engine, servers []fleet.Server) {
	s.Layers = e.Layers
	all := make([]int, e.Layers)
	domains := make(map[state.FailureDomain][]int)
	for i := range servers {
		srv := &servers[i]
		if srv.Draining {
			continue
		}
		if domains[srv.Domain] == nil {
			domains[srv.Domain] = make([]int, e.Layers)
		}
		for l := max(srv.Layers.From, 0); l < min(srv.Layers.To, e.Layers); l++ {
			all[l]++
			domains[srv.Domain][l]++
		}
	}
	for d, copies := range domains {
		if !slices.Contains(copies, 0) {
			s.Whole = append(s.Whole, d)
		}
	}
	slices.Sort(s.Whole)
	s.Copies = make(map[string]int)
	for from := 0; from < e.Layers; {
		to := from
		for to < e.Layers && all[to] == all[from] {
			to++
		}
		s.Copies[fleet.Range{From: from, To: to}.String()] = all[from]
		if all[from] == 0 {
			s.Uncovered += to - from
		}
		from = to
	}
}
