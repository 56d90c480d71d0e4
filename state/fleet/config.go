package fleet

import (
	"strings"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Config is one accepted configuration. It is immutable.
type Config struct {
	// Version increases with each configuration, not necessarily by 1.
	Version uint64
	// Hosts maps a host name to its routes, the longest prefix first.
	Hosts map[string][]Route
	// Services maps a service name to its description.
	Services map[state.ServiceID]Service
	// Keys maps an API key to the customer that owns it. It is nil where callers
	// need no key.
	Keys   map[string]Customer
	Limits Limits
}

// Customer is the owner of an API key.
type Customer struct {
	ID state.CustomerID
	// Rank overrides the route's rank where Ranked is set; 0 is the most urgent.
	Rank   int
	Ranked bool
}

// Limits bounds what a caller may send. A zero field means no limit.
type Limits struct {
	HeaderBytes   int           // size of one request's header
	BodyBytes     int64         // size of one request's body
	HeaderTimeout time.Duration // time to receive a complete header
	IdleTimeout   time.Duration // idle time of a keep-alive connection between two requests
}

// Repeat is how often a request may run.
type Repeat uint8

// The values of Repeat.
const (
	// AtMostOnce: the request is never run twice, even if its answer is lost.
	AtMostOnce Repeat = iota
	// Idempotent: any number of runs gives the same result.
	Idempotent
	// Resumable: a second run may continue after the last event that the caller
	// has received.
	Resumable
)

// Route describes how requests for one host and path prefix are routed.
type Route struct {
	Name      string
	Prefix    string // starts and ends with a slash
	Repeat    Repeat
	Stream    bool          // the answer is an event stream
	Timeout   time.Duration // maximum time that a request waits for its answer; 0 for none
	Target    time.Duration // an answer within this time is on time
	Gap       time.Duration // an event within this time after the previous one is on time
	Rank      int           // 0 is the most urgent
	Anonymous bool          // no API key is required
	// MaxAttempts is the maximum number of backend servers that run one request,
	// at least 1.
	MaxAttempts int
	Split       []Share
}

// Share is the share of a route's requests that is sent to one service.
type Share struct {
	Service state.ServiceID
	Weight  int
}

// Pick returns a service chosen by weight for the random number n. The second
// result is false where no service has a positive weight.
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

// Lookup returns the route of host with the longest prefix of path.
func (c *Config) Lookup(host, path string) (*Route, bool) {
	routes := c.Hosts[host]
	for i := range routes {
		if strings.HasPrefix(path, routes[i].Prefix) {
			return &routes[i], true
		}
	}
	return nil, false
}

// Service describes a group of interchangeable backend servers.
type Service struct {
	ID       state.ServiceID
	MaxConns int     // connections that one server accepts from all callers; 0 for no limit
	Engine   *Engine // nil for a plain service
}

// Engine describes the model engines of a service. Values at pace 1 are those of an
// AcceleratorKind whose Pace and ReadPace are 1.
type Engine struct {
	Layers     int
	LayerMB    float64 // memory for the weights of one layer
	KVTokens   int     // number of tokens whose KV cache one engine is meant to hold at a time
	TokenKB    float64 // KV cache of one token in all layers
	ActivateKB float64 // activations of one token sent between two hops
	PipeMbps   float64 // bandwidth between two failure domains, shared by all paths
	StepMS     float64 // duration of a decode step through all layers at pace 1
	SeqMS      float64 // time that each running stream adds to a decode step
	ContextMS  float64 // time that each 1,000 tokens of context add to a decode step
	ReadPerS   float64 // prefill rate in prompt tokens per second through all layers at pace 1
	Stride     int     // tokens that one event of an answer holds; at least 1
	LoadTime   time.Duration
	Kinds      map[string]AcceleratorKind
}

// AcceleratorKind describes one kind of accelerator.
type AcceleratorKind struct {
	MemoryMB float64
	Pace     float64 // relative duration of a decode step; higher is slower
	ReadPace float64 // relative duration of the prefill; higher is slower
}

// KVCapacity returns the number of tokens whose KV cache fits into the memory of
// an engine of kind k next to the weights of the given number of layers.
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
