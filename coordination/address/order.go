package address

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Candidate is a daemon as seen by the answering daemon.
type Candidate struct {
	ID       state.DaemonID
	Address  string // base URL for callers
	Domain   state.FailureDomain
	Region   state.Region
	Draining bool
	Suspect  bool    // did not answer recent probes and may be dead
	Load     float64 // fraction of its capacity in use, in [0, 1]; 0 if unknown
}

// Query describes a caller.
type Query struct {
	Customer state.CustomerID
	Caller   string              // distinguishes callers of one customer, such as the remote IP
	Domain   state.FailureDomain // "" if unknown
	Region   state.Region        // "" if unknown
}

// tier is the primary sort key of candidates, ahead of their hash score. Lower is
// better.
type tier int

const (
	tierDomain tier = iota // the caller's failure domain, below its load threshold
	tierRegion             // the caller's region, below its load threshold
	tierRemote             // elsewhere, below its load threshold, or nothing is known of the caller
	tierFull               // at or above this caller's load threshold
	tierSuspect
)

// loadSteps is the number of steps that load is rounded down to. It is coarse so that a
// caller's answer stays the same while loads fluctuate.
const loadSteps = 8

// minWeight keeps a fully loaded daemon eligible, since some daemon has to be first.
const minWeight = 0.05

type rankedCandidate struct {
	Candidate
	tier  tier
	score float64
}

// Order returns the daemons that the caller should use, best first, at most
// cfg.MaxAddresses of them. Draining daemons are left out and suspect ones come last.
// If the eligible candidates span two failure domains, so does the answer.
func Order(cfg Config, q Query, candidates []Candidate) []Candidate {
	cfg = cfg.withDefaults()
	rs := make([]rankedCandidate, 0, len(candidates))
	for _, c := range candidates {
		if c.Draining || c.Address == "" {
			continue
		}
		rs = append(rs, rank(cfg, q, c))
	}
	slices.SortFunc(rs, func(a, b rankedCandidate) int {
		return cmp.Or(
			cmp.Compare(a.tier, b.tier),
			cmp.Compare(b.score, a.score),
			cmp.Compare(a.ID, b.ID),
		)
	})
	rs = truncate(rs, cfg.MaxAddresses)
	out := make([]Candidate, len(rs))
	for i, r := range rs {
		out[i] = r.Candidate
	}
	return out
}

// rank scores c for the caller. Weighted rendezvous hashing distributes callers in
// proportion to free capacity and moves few of them when a daemon joins or leaves.
func rank(cfg Config, q Query, c Candidate) rankedCandidate {
	h := hash(q, c.ID, "order")
	free := math.Max(minWeight, 1-math.Floor(c.Load*loadSteps)/loadSteps)
	return rankedCandidate{
		Candidate: c,
		tier:      tierOf(cfg, q, c),
		score:     -free / math.Log(h),
	}
}

// tierOf returns the tier of c for the caller. Each caller stops preferring a daemon at
// its own load threshold between Busy and Overload. With one common threshold all
// callers of a failure domain would move at once, and since load reports lag, they
// would oscillate between daemons.
func tierOf(cfg Config, q Query, c Candidate) tier {
	if c.Suspect {
		return tierSuspect
	}
	threshold := cfg.Busy + hash(q, c.ID, "spill")*(cfg.Overload-cfg.Busy)
	switch {
	case c.Load >= threshold:
		return tierFull
	case q.Domain != "" && c.Domain == q.Domain:
		return tierDomain
	case q.Region != "" && c.Region == q.Region:
		return tierRegion
	default:
		return tierRemote
	}
}

// truncate keeps the first n candidates. If all n are of one failure domain, the last
// is replaced by the best daemon of a second one: a caller whose every address fails
// with that domain would have to rediscover the system.
func truncate(rs []rankedCandidate, n int) []rankedCandidate {
	if len(rs) <= n {
		return rs
	}
	first := rs[0].Domain
	other := func(r rankedCandidate) bool { return r.Domain != first && r.tier != tierSuspect }
	if n < 2 || slices.ContainsFunc(rs[:n], other) {
		return rs[:n]
	}
	if i := slices.IndexFunc(rs[n:], other); i >= 0 {
		rs[n-1] = rs[n+i]
	}
	return rs[:n]
}

// hash maps caller and daemon uniformly to (0, 1). use separates independent hashes.
func hash(q Query, id state.DaemonID, use string) float64 {
	d := xxhash.New()
	for _, s := range []string{use, string(q.Customer), q.Caller, string(id)} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	const bits = 53
	return (float64(d.Sum64()>>(64-bits)) + 0.5) / (1 << bits)
}
