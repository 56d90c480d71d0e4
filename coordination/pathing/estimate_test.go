package pathing

import (
	"fmt"
	"math/rand/v2"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// mixedModel is a model on engines of which some are six times as fast as others.
var mixedModel = &fleet.Engine{
	Layers: 80, LayerMB: 1750, KVTokens: 100000, TokenKB: 590, ActivateKB: 29.5, PipeMbps: 11000,
	StepMS: 1.02, SeqMS: 0.00459, ContextMS: 0.00615, ReadPerS: 164000,
	Kinds: map[string]fleet.AcceleratorKind{
		"large": {MemoryMB: 72000, Pace: 2.4, ReadPace: 3.2}, "middle": {MemoryMB: 43200, Pace: 5.6, ReadPace: 2.7},
		"small": {MemoryMB: 21600, Pace: 16, ReadPace: 8.2},
	},
}

// mixedSite lists three failure domains, each with two or three complete chains of its faster
// engines and some more of its slow ones.
func mixedSite() []fleet.Server {
	holds := map[string]int{"large": 28, "middle": 17, "small": 8}
	counts := map[state.FailureDomain]map[string]int{
		"a": {"large": 4, "middle": 6, "small": 14}, "b": {"large": 2, "middle": 9, "small": 22}, "c": {"large": 2, "middle": 15, "small": 12},
	}
	var out []fleet.Server
	for _, d := range []state.FailureDomain{"a", "b", "c"} {
		at := 0
		for _, kind := range []string{"large", "middle", "small"} {
			for i := range counts[d][kind] {
				from := min(at, mixedModel.Layers-holds[kind])
				id := fmt.Sprintf("%s-%s-%d", d, kind, i)
				out = append(out, fleet.Server{
					ID: state.BackendID(id), Address: id, Domain: d, Kind: kind, Slots: 192,
					Layers: fleet.Range{From: from, To: from + holds[kind]},
				})
				if at = from + holds[kind]; at >= mixedModel.Layers {
					at = 0
				}
			}
		}
	}
	return out
}

// siteLoad simulates many daemons that send streams over one roster.
type siteLoad struct {
	roster     *Roster
	daemons    int
	domains    []state.FailureDomain
	ownLoads   [][]ServerState // of each daemon
	totalLoads []ServerState   // of all daemons together
	rng        *rand.Rand
}

func newSiteLoad(daemons int) *siteLoad {
	l := &siteLoad{roster: NewRoster(mixedModel, mixedSite()), daemons: daemons, domains: []state.FailureDomain{"a", "b", "c"}, rng: rand.New(rand.NewPCG(1, 2))}
	l.totalLoads = make([]ServerState, l.roster.Len())
	for range daemons {
		l.ownLoads = append(l.ownLoads, make([]ServerState, l.roster.Len()))
	}
	return l
}

// activeStream is an active stream.
type activeStream struct {
	daemon int
	path   fleet.Path
	held   float64
}

// add adds a stream to the loads, or removes it.
func (l *siteLoad) add(s activeStream, delta float64) {
	for k, h := range s.path {
		i, _ := l.roster.IndexAt(h.Address)
		for _, st := range []*ServerState{&l.ownLoads[s.daemon][i], &l.totalLoads[i]} {
			st.Load.Tokens += delta * s.held
			if k == 0 {
				st.Load.FirstHopRequests += delta
			}
		}
	}
}

// run sends streams, with the given number active at a time, and returns the mean cost of their
// paths in ms per token for the true loads of the engines. With known set, the daemons know these
// loads.
func (l *siteLoad) run(streams int, known bool) float64 {
	var active []activeStream
	total, n := 0.0, 0
	for turn := range 8 * streams {
		if len(active) >= streams {
			k := l.rng.IntN(len(active))
			l.add(active[k], -1)
			active[k] = active[len(active)-1]
			active = active[:len(active)-1]
		}
		d := l.rng.IntN(l.daemons)
		req := Request{Domain: l.domains[d%len(l.domains)], PromptTokens: 400 + l.rng.IntN(700), MaxTokens: 300 + l.rng.IntN(600)}
		states := append([]ServerState(nil), l.ownLoads[d]...)
		if known {
			copy(states, l.totalLoads)
		} else {
			l.roster.Estimate(states, DaemonCounts{Domain: req.Domain, InDomain: l.daemons / len(l.domains), Total: l.daemons})
		}
		path, ok := l.roster.Choose(req, states, false)
		if !ok {
			panic("no path")
		}
		if turn >= 4*streams {
			total += costOf(l.roster, req, l.totalLoads, path)
			n++
		}
		s := activeStream{daemon: d, path: path, held: req.ExpectedTokens()}
		l.add(s, 1)
		active = append(active, s)
	}
	return total / float64(n)
}

var _ = Describe("Many daemons in front of the same engines", func() {
	// Guards against answers that take half as long again as necessary: 69 daemons have about nine
	// active streams each, and send the next ones over the slowest engines although fast ones have
	// capacity. Each daemon treats its one stream on an engine as if all others had one there, too.
	// The longer streams are also hit by more engine and daemon failures.
	It("load them almost as if each daemon knew the load of all", Label("failure:own-load-for-all"), func() {
		// An answer may take at most a fifth longer than with full knowledge.
		const most = 1.2
		known := newSiteLoad(69).run(500, true)
		for _, daemons := range []int{3, 9, 69, 195} {
			believed := newSiteLoad(daemons).run(500, false)
			AddReportEntry(fmt.Sprintf("%d daemons", daemons), fmt.Sprintf("%.1f ms per token, %.1f with full knowledge", believed, known))
			Expect(believed).To(BeNumerically("<=", most*known), "%d daemons", daemons)
		}
	})
})
