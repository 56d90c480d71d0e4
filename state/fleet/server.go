package fleet

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Range is a contiguous range of layers.
type Range struct {
	From int
	To   int // exclusive
}

// Len is the number of layers in r.
func (r Range) Len() int { return r.To - r.From }

// String gives the range as FROM-TO, TO exclusive.
func (r Range) String() string { return strconv.Itoa(r.From) + "-" + strconv.Itoa(r.To) }

// Server is one life of one backend server, as it lists itself. One that starts again
// has another id, or the same one and another Born.
type Server struct {
	ID       state.BackendID
	Born     int64 // of this life, as state.Life has it
	Service  state.ServiceID
	Address  string // host:port
	Domain   state.FailureDomain
	Kind     string // of its accelerator, "" for plain servers
	Slots    int
	Draining bool
	Cold     time.Duration // for which it stays slow after its start
	Layers   Range         // that it holds; empty for none
}

// Life is the start of the server that this entry is of.
func (s *Server) Incarnation() state.BackendIncarnation {
	return state.BackendIncarnation{ID: s.ID, Born: s.Born}
}

// Holds reports whether the server holds layer l.
func (s *Server) Holds(l int) bool {
	return s.Layers.From <= l && l < s.Layers.To
}

// Hop is one backend server's part of a path.
type Hop struct {
	Server  state.BackendIncarnation
	Address string
	Domain  state.FailureDomain
	Layers  Range
}

// Path is the way of a request through all layers, in order.
type Path []Hop

// String gives the hops in order, such as "10.1.0.7:80=0-15 10.1.0.9:80=15-24".
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

// Whole reports whether the path runs layers 0 to n once each and in order, on
// different servers.
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

// Cover counts, for each layer of a model, the backend servers that hold it.
type Cover []int

// NewCover is a cover of a model's layers that nobody holds yet.
func NewCover(layers int) Cover { return make(Cover, layers) }

// Add counts a server that holds r, or one less for by = -1.
func (c Cover) Add(r Range, by int) {
	for l := max(r.From, 0); l < min(r.To, len(c)); l++ {
		c[l] += by
	}
}

// Missing counts the layers that nobody holds.
func (c Cover) Missing() int {
	n := 0
	for _, copies := range c {
		if copies < 1 {
			n++
		}
	}
	return n
}

// Least is how many servers hold the layer that is held by the fewest, 0 for a model
// without layers.
func (c Cover) MinCopies() int {
	if len(c) == 0 {
		return 0
	}
	return slices.Min(c)
}

// Whole reports whether each layer is held.
func (c Cover) Complete() bool { return c.Missing() == 0 }
