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

// backend is one backend server. One with a boot id keeps its attempts and minimum
// epochs until it restarts; one without is a plain service that can't be queried.
type backend struct {
	bootID    string
	minEpochs map[string]state.Epoch
	attempts  map[string]bool
}

// attemptMessage is a message in flight from a daemon to a server: the first step of an
// attempt, or a query about that attempt.
type attemptMessage struct {
	owner  *node
	claim  *trackedClaim
	record claims.Record
}

// trackedClaim is a claim with the state that its daemon keeps for it.
type trackedClaim struct {
	*claims.Claim
	nonce       state.Nonce
	dispatches  *state.Dispatches
	dispatched  bool
	tookOver    bool
	outcomeSent bool // its outcome was sent
}

// node is one daemon.
type node struct {
	sim          *simulation
	member       state.Member
	paused       bool
	dead         bool
	claims       []*trackedClaim
	inbox        []func()
	batcher      *claims.Batcher
	accurateView bool // Owns is correct
	wrongView    func() bool
}

// Owns is the daemon's view of other daemons, which may be wrong.
func (n *node) Owns(rec claims.Record) bool {
	if !n.accurateView {
		return n.wrongView()
	}
	for _, o := range n.sim.nodes {
		if o.member == rec.Owner && !o.dead {
			return slices.ContainsFunc(o.claims, func(k *trackedClaim) bool { return k.nonce == rec.Nonce && !k.Released() })
		}
	}
	return false
}

// storeCall is a store call in flight. Without a request it is the claimant's
// timeout of a write sent through a home.
type storeCall struct {
	from  *node
	req   store.Request
	reply func(store.Result)
}

// simulation runs several daemons, a store and backend servers in virtual time.
// All random choices come from pick, so that rapid can shrink an event sequence.
type simulation struct {
	now        time.Time
	store      *fakeStore
	nodes      []*node
	servers    map[state.ReplicaID]*backend
	storeCalls []storeCall
	firstSteps []attemptMessage
	queries    []attemptMessage
	started    map[state.RequestID]int // executions started, by request
	executions int
	verdicts   map[state.RequestID][]claims.Verdict
	nonces     int
	pick       func(n int, what string) int
}

func newSimulation(choose func(int, string) int) *simulation {
	sim := &simulation{
		now:      time.Unix(1_000_000, 0),
		store:    &fakeStore{rows: map[string]store.Row{}},
		servers:  map[state.ReplicaID]*backend{},
		started:  map[state.RequestID]int{},
		verdicts: map[state.RequestID][]claims.Verdict{},
		pick:     choose,
	}
	for i, boot := range []string{"boot-0", "boot-1", ""} {
		sim.servers[replica(i)] = &backend{bootID: boot, minEpochs: map[string]state.Epoch{}, attempts: map[string]bool{}}
	}
	return sim
}

func replica(i int) state.ReplicaID {
	return state.ReplicaID(fmt.Sprintf("r%d", i))
}

func (sim *simulation) addNode(id string, inc state.Incarnation) *node {
	n := &node{
		sim:     sim,
		member:  state.Member{ID: state.DaemonID(id), Incarnation: inc},
		batcher: claims.NewBatcher(claims.DefaultBatchConfig()),
	}
	n.wrongView = func() bool { return sim.pick(2, "owns") == 1 }
	sim.nodes = append(sim.nodes, n)
	return n
}

func (sim *simulation) slot(i int, n int) claims.Slot {
	return claims.Slot{
		Attempt:  state.Attempt(0).Next(uint32(n)),
		Replica:  replica(i),
		Backends: []claims.Backend{{ID: state.BackendID(replica(i)), BootID: sim.servers[replica(i)].bootID}},
	}
}

// submit sends a request with the given key to a daemon. It reuses a claim there
// that was given up and is not voided yet.
func (sim *simulation) submit(n *node, key, content string, slot int, deadline time.Duration) state.RequestID {
	sim.nonces++
	id := state.RequestID(fmt.Sprintf("q%d", sim.nonces))
	s := sim.slot(slot, sim.nonces)
	k := claims.Key{Service: "s", Customer: "c", Key: state.IdempotencyKey(key)}
	for _, old := range n.claims {
		if old.Reusable() && old.Key() == k && old.Request().Content == content {
			sim.step(n, old, claims.Reuse{Request: id, Slot: s, Deadline: sim.now.Add(deadline)})
			return id
		}
	}
	kc := &trackedClaim{nonce: state.Nonce(fmt.Sprintf("n%d", sim.nonces)), dispatches: state.NewDispatches()}
	kc.Claim = claims.New(claims.DefaultConfig(), rand.New(rand.NewPCG(1, 2)), n, claims.Request{
		Key: k, Content: content, ID: id, Owner: n.member, Nonce: kc.nonce,
		Deadline: sim.now.Add(deadline), OwnerNumber: uint32(sim.nonces),
	})
	n.claims = append(n.claims, kc)
	sim.step(n, kc, claims.Start{Slot: s})
	return id
}

func (sim *simulation) step(n *node, k *trackedClaim, ev claims.Event) {
	if n.dead {
		return
	}
	if n.paused {
		n.inbox = append(n.inbox, func() { sim.step(n, k, ev) })
		return
	}
	for _, a := range k.Step(sim.now, ev) {
		sim.execute(n, k, a)
	}
}

func (sim *simulation) execute(n *node, k *trackedClaim, a claims.Action) {
	switch a := a.(type) {
	case claims.CallStore:
		if a.ViaHome {
			sim.viaHome(n, k, a)
			return
		}
		sim.storeCalls = append(sim.storeCalls, storeCall{n, a.Call.Request, func(res store.Result) {
			res.Call = a.Call.ID
			sim.step(n, k, claims.StoreResult{Result: res})
		}})
	case claims.Dispatch:
		k.dispatched = true
		k.dispatches.MarkSent(a.Record.Slot.Attempt)
		sim.firstSteps = append(sim.firstSteps, attemptMessage{n, k, a.Record})
	case claims.Continue:
		k.dispatched = true
		k.tookOver = true
	case claims.QueryAttempt:
		sim.queries = append(sim.queries, attemptMessage{n, k, a.Record})
	case claims.Verdict:
		id := k.Request().ID
		sim.verdicts[id] = append(sim.verdicts[id], a)
	}
}

// viaHome sends a write through a random daemon as the key's home: daemons may
// disagree about it.
func (sim *simulation) viaHome(n *node, k *trackedClaim, a claims.CallStore) {
	home := sim.nodes[sim.pick(len(sim.nodes), "home")]
	req, _ := a.WriteRequest(uint64(a.Call.ID))
	if home.dead || home.paused {
		sim.step(n, k, claims.StoreResult{Result: store.Result{Call: a.Call.ID, Status: store.NotSent}})
		return
	}
	// The claimant's own timeout. A reply that arrives later is ignored.
	sim.storeCalls = append(sim.storeCalls, storeCall{n, nil, func(store.Result) {
		sim.step(n, k, claims.StoreResult{Result: store.Result{Call: a.Call.ID}})
	}})
	replies[replyKey{home, n, k, uint64(a.Call.ID)}] = func(r claims.WriteReply) {
		sim.step(n, k, claims.StoreResult{Result: r.Result(a.Call.ID, req.Key)})
	}
	sim.stepHome(home, claims.WriteRequested{From: memberOf(n, k), Request: req})
}

// replyKey identifies the claim that waits for a Reply. memberOf gives each claim
// a member of its own.
type replyKey struct {
	home *node
	n    *node
	k    *trackedClaim
	call uint64
}

var replies = map[replyKey]func(claims.WriteReply){}

func memberOf(n *node, k *trackedClaim) state.Member {
	return state.Member{ID: state.DaemonID(k.nonce), Incarnation: n.member.Incarnation}
}

func (sim *simulation) stepHome(home *node, ev claims.BatchEvent) {
	if home.dead {
		return
	}
	for _, a := range home.batcher.Step(sim.now, ev) {
		switch a := a.(type) {
		case claims.CallStore:
			sim.storeCalls = append(sim.storeCalls, storeCall{home, a.Call.Request, func(res store.Result) {
				res.Call = a.Call.ID
				sim.stepHome(home, claims.StoreResult{Result: res})
			}})
		case claims.Reply:
			sim.deliverReply(home, a)
		}
	}
}

func (sim *simulation) deliverReply(home *node, a claims.Reply) {
	for _, n := range sim.nodes {
		for _, k := range n.claims {
			if memberOf(n, k) == a.To {
				if f := replies[replyKey{home, n, k, a.Reply.Call}]; f != nil {
					f(a.Reply)
				}
			}
		}
	}
}
