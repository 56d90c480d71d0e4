package address

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Candidate is one daemon as the answering daemon sees it.
type Candidate struct {
	ID       state.DaemonID
	Address  string // base URL for callers
	Domain   state.FailureDomain
	Region   state.Region
	Draining bool
	Suspect  bool    // did not answer its last probes; may be dead
	Load     float64 // share of its capacity in use, in [0, 1]; 0 when unknown
}

// Query is what is known of a caller.
type Query struct {
	Customer state.CustomerID
	Caller   string              // tells callers of one customer apart, such as the remote IP
	Domain   state.FailureDomain // "" when unknown
	Region   state.Region        // "" when unknown
}

// tier orders candidates before their hash does; lower is better.
type tier int

const (
	tierDomain tier = iota // the caller's failure domain, with room
	tierRegion             // the caller's region, with room
	tierFar                // anywhere else, with room, or nothing known of the caller
	tierFull               // past the load up to which this caller prefers it
	tierSuspect
)

// loadSteps is the granularity in which load weighs: coarse, so that one
// caller's answer is the same while loads waver.
const loadSteps = 8

// minWeight keeps a full daemon eligible: some daemon has to be first.
const minWeight = 0.05

type ranked struct {
	Candidate
	tier  tier
	score float64
}

// Order gives the daemons that the caller should use, best first, at most
// cfg.Count of them. Draining daemons are left out; suspect ones come last. If
// the candidates that remain span two failure domains, so does the answer.
func Order(cfg Config, q Query, candidates []Candidate) []Candidate {
	cfg = cfg.withDefaults()
	rs := make([]ranked, 0, len(candidates))
	for _, c := range candidates {
		if c.Draining || c.Address == "" {
			continue
		}
		rs = append(rs, rank(cfg, q, c))
	}
	slices.SortFunc(rs, func(a, b ranked) int {
		return cmp.Or(
			cmp.Compare(a.tier, b.tier),
			cmp.Compare(b.score, a.score),
			cmp.Compare(a.ID, b.ID),
		)
	})
	rs = cut(rs, cfg.MaxAddresses)
	out := make([]Candidate, len(rs))
	for i, r := range rs {
		out[i] = r.Candidate
	}
	return out
}

// rank places c for the caller. Weighted rendezvous hashing spreads callers in
// proportion to free capacity and moves few of them when a daemon comes or goes.
func rank(cfg Config, q Query, c Candidate) ranked {
	h := hash(q, c.ID, "order")
	free := math.Max(minWeight, 1-math.Floor(c.Load*loadSteps)/loadSteps)
	return ranked{
		Candidate: c,
		tier:      tierOf(cfg, q, c),
		score:     -free / math.Log(h),
	}
}

// tierOf lets each caller leave a filling daemon at its own load between Busy
// and Overload. One common threshold would move all callers of a failure domain
// at once, and load reports lag, so that they would swing to and fro.
func tierOf(cfg Config, q Query, c Candidate) tier {
	if c.Suspect {
		return tierSuspect
	}
	patience := cfg.Busy + hash(q, c.ID, "spill")*(cfg.Overload-cfg.Busy)
	switch {
	case c.Load >= patience:
		return tierFull
	case q.Domain != "" && c.Domain == q.Domain:
		return tierDomain
	case q.Region != "" && c.Region == q.Region:
		return tierRegion
	default:
		return tierFar
	}
}

// cut keeps the first n, trading the last of them for the best daemon of a
// second failure domain if all n are of one: a caller whose every address fails
// with that domain would have to find the system anew.
func cut(rs []ranked, n int) []ranked {
	if len(rs) <= n {
		return rs
	}
	first := rs[0].Domain
	other := func(r ranked) bool { return r.Domain != first && r.tier != tierSuspect }
	if n < 2 || slices.ContainsFunc(rs[:n], other) {
		return rs[:n]
	}
	if i := slices.IndexFunc(rs[n:], other); i >= 0 {
		rs[n-1] = rs[n+i]
	}
	return rs[:n]
}

// hash maps caller and daemon to (0, 1), evenly.
func hash(q Query, id state.DaemonID, use string) float64 {
	d := xxhash.New()
	for _, s := range []string{use, string(q.Customer), q.Caller, string(id)} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	const bits = 53
	return (float64(d.Sum64()>>(64-bits)) + 0.5) / (1 << bits)
}
