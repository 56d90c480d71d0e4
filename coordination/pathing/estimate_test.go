package pathing

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// mixed is a model on cards of which some are six times as fast as others.
var mixed = &fleet.Engine{
	Layers: 80, LayerMB: 1750, KVTokens: 100000, TokenKB: 590, ActivateKB: 29.5, PipeMbps: 11000,
	StepMS: 1.02, SeqMS: 0.00459, ContextMS: 0.00615, ReadPerS: 164000,
	Kinds: map[string]fleet.CardKind{
		"large": {MemoryMB: 72000, Pace: 2.4, ReadPace: 3.2}, "middle": {MemoryMB: 43200, Pace: 5.6, ReadPace: 2.7},
		"small": {MemoryMB: 21600, Pace: 16, ReadPace: 8.2},
	},
}

// mixedSite lists three failure domains, each with two or three whole chains of its faster
// cards and some more of its slow ones.
func mixedSite() []fleet.Server {
	holds := map[string]int{"large": 28, "middle": 17, "small": 8}
	cards := map[state.FailureDomain]map[string]int{
		"a": {"large": 4, "middle": 6, "small": 14}, "b": {"large": 2, "middle": 9, "small": 22}, "c": {"large": 2, "middle": 15, "small": 12},
	}
	var out []fleet.Server
	for _, d := range []state.FailureDomain{"a", "b", "c"} {
		at := 0
		for _, kind := range []string{"large", "middle", "small"} {
			for i := range cards[d][kind] {
				from := min(at, mixed.Layers-holds[kind])
				id := fmt.Sprintf("%s-%s-%d", d, kind, i)
				out = append(out, fleet.Server{
					ID: state.BackendID(id), Address: id, Domain: d, Kind: kind, Slots: 192,
					Layers: fleet.Range{From: from, To: from + holds[kind]},
				})
				if at = from + holds[kind]; at >= mixed.Layers {
					at = 0
				}
			}
		}
	}
	return out
}

// siteLoad is many daemons that send streams over one roster.
type siteLoad struct {
	roster  *Roster
	daemons int
	domains []state.FailureDomain
	own     [][]ServerState // of each daemon
	all     []ServerState   // of all together
	rng     *rand.Rand
}

func newSiteLoad(daemons int) *siteLoad {
	l := &siteLoad{roster: NewRoster(mixed, mixedSite()), daemons: daemons, domains: []state.FailureDomain{"a", "b", "c"}, rng: rand.New(rand.NewPCG(1, 2))}
	l.all = make([]ServerState, l.roster.Len())
	for range daemons {
		l.own = append(l.own, make([]ServerState, l.roster.Len()))
	}
	return l
}

// sent is a stream under way.
type sent struct {
	daemon int
	path   fleet.Path
	held   float64
}

// add counts a stream, or takes it off.
func (l *siteLoad) add(s sent, by float64) {
	for k, h := range s.path {
		i, _ := l.roster.IndexAt(h.Address)
		for _, st := range []*ServerState{&l.own[s.daemon][i], &l.all[i]} {
			st.Load.Tokens += by * s.held
			if k == 0 {
				st.Load.FirstHopRequests += by
			}
		}
	}
}

// run sends streams, of which so many are under way at a time, and returns the mean cost of
// their paths in ms a token, by what truly runs on the cards. known daemons know that too.
func (l *siteLoad) run(streams int, known bool) float64 {
	var under []sent
	total, n := 0.0, 0
	for turn := range 8 * streams {
		if len(under) >= streams {
			k := l.rng.IntN(len(under))
			l.add(under[k], -1)
			under[k] = under[len(under)-1]
			under = under[:len(under)-1]
		}
		d := l.rng.IntN(l.daemons)
		req := Request{Domain: l.domains[d%len(l.domains)], PromptTokens: 400 + l.rng.IntN(700), MaxTokens: 300 + l.rng.IntN(600)}
		states := append([]ServerState(nil), l.own[d]...)
		if known {
			copy(states, l.all)
		} else {
			l.roster.Estimate(states, DaemonCounts{Domain: req.Domain, InDomain: l.daemons / len(l.domains), Total: l.daemons})
		}
		path, ok := l.roster.Choose(req, states, false)
		if !ok {
			panic("no path")
		}
		if turn >= 4*streams {
			total += costOf(l.roster, req, l.all, path)
			n++
		}
		s := sent{daemon: d, path: path, held: req.ExpectedTokens()}
		l.add(s, 1)
		under = append(under, s)
	}
	return total / float64(n)
}

var _ = Describe("Many daemons before the same engines", func() {
	// Drafts take half as long again as they need, and each trouble of an engine or a daemon
	// meets the more of them. Order: 69 daemons have some nine streams under way each, and
	// send the next ones over the slowest cards, although fast ones have room. Cause: each
	// takes its one stream on a card for that of all others.
	It("load them almost as if each knew of all", Label("failure:own-load-for-all"), func() {
		// A caller's draft is to take no more than a fifth longer than it must.
		const most = 1.2
		known := newSiteLoad(69).run(500, true)
		for _, daemons := range []int{3, 9, 69, 195} {
			believed := newSiteLoad(daemons).run(500, false)
			AddReportEntry(fmt.Sprintf("%d daemons", daemons), fmt.Sprintf("%.1f ms a token, %.1f if all were known", believed, known))
			Expect(believed).To(BeNumerically("<=", most*known), "%d daemons", daemons)
		}
	})
})
