package fleet

import (
	"strings"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Config is one accepted configuration.
type Config struct {
	// Version grows with each configuration, in uneven steps.
	Version uint64
	// Hosts holds the routes of each host name, the longest prefix first.
	Hosts map[string][]Route
	// Services describes each service by its name.
	Services map[state.ServiceID]Service
	// Keys maps a caller's key to the customer that holds it. It is nil where
	// callers need no key.
	Keys   map[string]Customer
	Limits Limits
}

// Customer is the holder of a caller's key.
type Customer struct {
	ID state.CustomerID
	// Rank goes before the route's rank where Ranked is set; 0 is the most urgent.
	Rank   int
	Ranked bool
}

// Limits bounds what a caller may send. Zero fields set no bound.
type Limits struct {
	HeaderBytes   int           // of one request's header
	BodyBytes     int64         // of one request's body
	HeaderTimeout time.Duration // for a whole header to arrive
	IdleTimeout   time.Duration // of a kept connection between two requests
}

// Repeat says how often a request may run.
type Repeat uint8

// The values of Repeat.
const (
	// RunOnce: at most one run, whatever becomes of its answer.
	AtMostOnce Repeat = iota
	// RunAgain: any number of runs gives the same result (idempotent).
	Idempotent
	// RunOn: a second run may go on after the last event that the caller has.
	Resumable
)

// Route says where requests of one host and path prefix go.
type Route struct {
	Name      string
	Prefix    string // begins and ends with a slash
	Repeat    Repeat
	Stream    bool          // the answer is a series of events
	Timeout   time.Duration // longest time that a request is kept waiting; 0 for none
	Target    time.Duration // answers within it are on time
	Gap       time.Duration // longest pause between two events that is on time
	Rank      int           // 0 is the most urgent
	Anonymous bool          // needs no key
	// MaxAttempts bounds the backend servers that run one request, at least 1.
	MaxAttempts int
	Split       []Share
}

// Share is the part of a route's requests that one service gets.
type Share struct {
	Service state.ServiceID
	Weight  int
}

// Pick returns the service for a request whose random number is n.
func (r *Route) Pick(n uint64) (state.ServiceID, bool) {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return "", false
	}
	rest := int(n % uint64(total))
	for _, s := range r.Split {
		if rest < s.Weight {
			return s.Service, true
		}
		rest -= s.Weight
	}
	return "", false
}

// Lookup finds the route of a host with the longest prefix of path.
func (c *Config) Lookup(host, path string) (*Route, bool) {
	routes := c.Hosts[host]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].Prefix) {
			return &routes[i], true
		}
	}
	return nil, false
}

// Service describes a group of like backend servers.
type Service struct {
	ID       state.ServiceID
	MaxConns int     // connections that one server takes from all callers; 0 for no bound
	Engine   *Engine // nil for a plain service
}

// Engine describes the model engines of a service.
type Engine struct {
	Layers     int
	LayerMB    float64 // of memory for the weights of one layer
	KVTokens   int     // tokens that an engine is meant to hold at one time
	TokenKB    float64 // of KV cache for one token in all layers
	ActivateKB float64 // of activations for one token at each hop
	PipeMbps   float64 // between two failure domains, shared by all paths
	StepMS     float64 // of one token step through all layers at pace 1
	SeqMS      float64 // that each stream under way adds to such a step
	ContextMS  float64 // that each 1,000 tokens of context add to it
	ReadPerS   float64 // prompt tokens a second through all layers at pace 1
	LoadTime   time.Duration
	Kinds      map[string]AcceleratorKind
}

// CardKind is one kind of accelerator.
type AcceleratorKind struct {
	MemoryMB float64
	Pace     float64 // of token steps; higher is slower
	ReadPace float64 // of prompt reading; higher is slower
}

// Room returns how many tokens a card of kind k can hold beside the weights of
// the given number of layers.
func (e *Engine) KVCapacity(k AcceleratorKind, layers int) int {
	if layers <= 0 || e.Layers <= 0 || e.TokenKB <= 0 {
		return 0
	}
	free := k.MemoryMB - float64(layers)*e.LayerMB
	perToken := e.TokenKB / 1000 * float64(layers) / float64(e.Layers)
	if free <= 0 {
		return 0
	}
	return int(free / perToken)
}
