package claims_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/claims"
	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// server is one backend server. One with a boot remembers attempts and bars
// until it restarts; one without is a plain service that can't be asked.
type server struct {
	boot string
	bars map[string]state.Epoch
	held map[string]bool
}

// step is a first step on its way to a server.
type step struct {
	owner *node
	claim *kept
	rec   claims.Record
}

// kept is one claim at a daemon with what its daemon knows of it.
type kept struct {
	*claims.Claim
	nonce      state.Nonce
	dispatches *state.Dispatches
	sent       bool
	continued  bool
	doomed     bool // its outcome is on the way
}

// node is one daemon.
type node struct {
	w      *world
	member state.Member
	paused bool
	dead   bool
	claims []*kept
	inbox  []func()
	home   *claims.Batcher
	honest bool // Owns tells the truth
	lie    func() bool
}

// Owns is the daemon's belief about other daemons, which may be wrong.
func (n *node) Owns(rec claims.Record) bool {
	if !n.honest {
		return n.lie()
	}
	for _, o := range n.w.nodes {
		if o.member == rec.Owner && !o.dead {
			return slices.ContainsFunc(o.claims, func(k *kept) bool { return k.nonce == rec.Nonce && !k.Released() })
		}
	}
	return false
}

// airCall is a store call under way.
type airCall struct {
	from  *node
	req   store.Request
	reply func(store.Result)
}

// world runs several daemons, a store and backend servers in virtual time. All
// choices come from choose, so that a history can be shrunk.
type world struct {
	now      time.Time
	store    *table
	nodes    []*node
	servers  map[state.ReplicaID]*server
	air      []airCall
	steps    []step
	asks     []step
	began    map[state.RequestID]int // executions begun, by request
	total    int
	verdicts map[state.RequestID][]claims.Verdict
	nonces   int
	choose   func(n int, what string) int
}

func newWorld(choose func(int, string) int) *world {
	w := &world{
		now:      time.Unix(1_000_000, 0),
		store:    &table{rows: map[string]store.Row{}},
		servers:  map[state.ReplicaID]*server{},
		began:    map[state.RequestID]int{},
		verdicts: map[state.RequestID][]claims.Verdict{},
		choose:   choose,
	}
	for i, boot := range []string{"boot-0", "boot-1", ""} {
		w.servers[replica(i)] = &server{boot: boot, bars: map[string]state.Epoch{}, held: map[string]bool{}}
	}
	return w
}

func replica(i int) state.ReplicaID {
	return state.ReplicaID(fmt.Sprintf("r%d", i))
}

func (w *world) addNode(id string, inc state.Incarnation) *node {
	n := &node{
		w:      w,
		member: state.Member{ID: state.DaemonID(id), Incarnation: inc},
		home:   claims.NewBatcher(claims.DefaultBatchConfig()),
	}
	n.lie = func() bool { return w.choose(2, "owns") == 1 }
	w.nodes = append(w.nodes, n)
	return n
}

func (w *world) slot(i int, n int) claims.Slot {
	return claims.Slot{
		Attempt:  state.Attempt(0).Next(uint32(n)),
		Replica:  replica(i),
		Backends: []claims.Backend{{ID: state.BackendID(replica(i)), BootID: w.servers[replica(i)].boot}},
	}
}

// submit sends a request under key to a daemon. A claim there that was given
// up and is not voided yet is reused.
func (w *world) submit(n *node, key, content string, slot int, deadline time.Duration) state.RequestID {
	w.nonces++
	id := state.RequestID(fmt.Sprintf("q%d", w.nonces))
	s := w.slot(slot, w.nonces)
	k := claims.Key{Service: "s", Customer: "c", Key: state.IdempotencyKey(key)}
	for _, old := range n.claims {
		if old.Reusable() && old.Key() == k && old.Request().Content == content {
			w.step(n, old, claims.Reuse{Request: id, Slot: s, Deadline: w.now.Add(deadline)})
			return id
		}
	}
	kc := &kept{nonce: state.Nonce(fmt.Sprintf("n%d", w.nonces)), dispatches: state.NewDispatches()}
	kc.Claim = claims.New(claims.DefaultConfig(), rand.New(rand.NewPCG(1, 2)), n, claims.Request{
		Key: k, Content: content, ID: id, Owner: n.member, Nonce: kc.nonce,
		Deadline: w.now.Add(deadline), OwnerNumber: uint32(w.nonces),
	})
	n.claims = append(n.claims, kc)
	w.step(n, kc, claims.Start{Slot: s})
	return id
}

func (w *world) step(n *node, k *kept, ev claims.Event) {
	if n.dead {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, func() { w.step(n, k, ev) })
		return
	}
	for _, a := range k.Step(w.now, ev) {
		w.act(n, k, a)
	}
}

func (w *world) act(n *node, k *kept, a claims.Action) {
	switch a := a.(type) {
	case claims.CallStore:
		if a.ViaHome {
			w.viaHome(n, k, a)
			return
		}
		w.air = append(w.air, airCall{n, a.Call.Request, func(res store.Result) {
			res.Call = a.Call.ID
			w.step(n, k, claims.StoreResult{Result: res})
		}})
	case claims.Dispatch:
		k.sent = true
		k.dispatches.Sent(a.Record.Slot.Attempt)
		w.steps = append(w.steps, step{n, k, a.Record})
	case claims.Continue:
		k.sent = true
		k.continued = true
	case claims.QueryAttempt:
		w.asks = append(w.asks, step{n, k, a.Record})
	case claims.Verdict:
		id := k.Request().ID
		w.verdicts[id] = append(w.verdicts[id], a)
	}
}

// viaHome sends a write through a daemon that takes itself for the key's home;
// daemons need not agree on it.
func (w *world) viaHome(n *node, k *kept, a claims.CallStore) {
	home := w.nodes[w.choose(len(w.nodes), "home")]
	req, _ := a.WriteRequest(uint64(a.Call.ID))
	if home.dead || home.paused {
		w.step(n, k, claims.StoreResult{Result: store.Result{Call: a.Call.ID, Status: store.NotSent}})
		return
	}
	// The claimant's own timeout: the reply may come after it, and is ignored.
	w.air = append(w.air, airCall{n, nil, func(store.Result) {
		w.step(n, k, claims.StoreResult{Result: store.Result{Call: a.Call.ID}})
	}})
	replies[replyKey{home, n, k, uint64(a.Call.ID)}] = func(r claims.WriteReply) {
		w.step(n, k, claims.StoreResult{Result: r.Result(a.Call.ID, req.Key)})
	}
	w.stepHome(home, claims.WriteRequested{From: memberOf(n, k), Request: req})
}

// replyKey routes a Reply back; memberOf makes the claimant unique by claim.
type replyKey struct {
	home *node
	n    *node
	k    *kept
	call uint64
}

var replies = map[replyKey]func(claims.WriteReply){}

func memberOf(n *node, k *kept) state.Member {
	return state.Member{ID: state.DaemonID(k.nonce), Incarnation: n.member.Incarnation}
}

func (w *world) stepHome(home *node, ev claims.BatchEvent) {
	if home.dead {
		return
	}
	for _, a := range home.home.Step(w.now, ev) {
		switch a := a.(type) {
		case claims.CallStore:
			w.air = append(w.air, airCall{home, a.Call.Request, func(res store.Result) {
				res.Call = a.Call.ID
				w.stepHome(home, claims.StoreResult{Result: res})
			}})
		case claims.Reply:
			w.route(home, a)
		}
	}
}

func (w *world) route(home *node, a claims.Reply) {
	for _, n := range w.nodes {
		for _, k := range n.claims {
			if memberOf(n, k) == a.To {
				if f := replies[replyKey{home, n, k, a.Reply.Call}]; f != nil {
					f(a.Reply)
				}
			}
		}
	}
}
