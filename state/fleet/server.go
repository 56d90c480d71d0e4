package fleet

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Range is a contiguous range of layers [From, To).
type Range struct {
	From int
	To   int // exclusive
}

// Len returns the number of layers in r.
func (r Range) Len() int { return r.To - r.From }

// String returns the range as FROM-TO, with TO exclusive.
func (r Range) String() string { return strconv.Itoa(r.From) + "-" + strconv.Itoa(r.To) }

// Server is the entry of one incarnation of a backend server in the list of servers. A
// server that restarts has another ID, or the same ID and another Born.
type Server struct {
	ID       state.BackendID
	Born     int64 // start time, as in state.BackendIncarnation
	Service  state.ServiceID
	Address  string // host:port
	Domain   state.FailureDomain
	Kind     string // accelerator kind, "" for plain servers
	Slots    int
	Draining bool
	Cold     time.Duration // remaining warm-up time, in which the server is slow
	Layers   Range         // the layers that it holds; empty for none
}

// Incarnation returns the incarnation that this entry describes.
func (s *Server) Incarnation() state.BackendIncarnation {
	return state.BackendIncarnation{ID: s.ID, Born: s.Born}
}

// Holds reports whether the server holds layer l.
func (s *Server) Holds(l int) bool {
	return s.Layers.From <= l && l < s.Layers.To
}

// Hop is the part of a path that runs on one backend server.
type Hop struct {
	Server  state.BackendIncarnation
	Address string
	Domain  state.FailureDomain
	Layers  Range
}

// Path is the sequence of backend servers that a request passes through, in the
// order of their layers.
type Path []Hop

// String returns the hops in order, such as "10.1.0.7:80=0-15 10.1.0.9:80=15-24".
func (p Path) String() string {
	var b strings.Builder
	for i, h := range p {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(h.Address)
		b.WriteByte('=')
		b.WriteString(strconv.Itoa(h.Layers.From))
		b.WriteByte('-')
		b.WriteString(strconv.Itoa(h.Layers.To))
	}
	return b.String()
}

// Complete reports whether the path runs the layers [0, n) once each and in order,
// on distinct servers.
func (p Path) Complete(n int) bool {
	at := 0
	seen := make(map[string]bool, len(p))
	for _, h := range p {
		if h.Layers.From != at || h.Layers.To <= at || seen[h.Address] {
			return false
		}
		seen[h.Address] = true
		at = h.Layers.To
	}
	return at == n
}

// Cover is the number of backend servers that hold each layer of a model.
type Cover []int

// NewCover returns a cover of a model whose layers no server holds.
func NewCover(layers int) Cover { return make(Cover, layers) }

// Add adds by, which is 1 or -1, to the count of each layer in r.
func (c Cover) Add(r Range, by int) {
	for l := max(r.From, 0); l < min(r.To, len(c)); l++ {
		c[l] += by
	}
}

// Missing returns the number of layers that no server holds.
func (c Cover) Missing() int {
	n := 0
	for _, copies := range c {
		if copies < 1 {
			n++
		}
	}
	return n
}

// MinCopies returns the lowest number of servers that hold any one layer, 0 for a
// model without layers.
func (c Cover) MinCopies() int {
	if len(c) == 0 {
		return 0
	}
	return slices.Min(c)
}

// Complete reports whether every layer is held by at least one server.
func (c Cover) Complete() bool { return c.Missing() == 0 }
