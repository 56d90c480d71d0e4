package membership_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/protocol/peer"
	"github.com/hibiscuswick/hibiscuswick/state"
)

var epoch = time.Unix(1_700_000_000, 0)

// node is one daemon of a fleet in virtual time.
type node struct {
	id          state.DaemonID
	self        membership.Self
	m           *membership.Membership
	dead        bool
	pausedUntil time.Time
	tickAt      time.Time

	bytes, messages int // sent
	peers           map[string]bool
	actions         []membership.Action // all but Send, since the last clear
}

// delivery is a message or a tick on its way to a node.
type delivery struct {
	at   time.Time
	n    int // breaks ties in order of sending
	to   *node
	from state.Member
	msg  membership.Message // nil for a tick
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if d[i].at.Equal(d[j].at) {
		return d[i].n < d[j].n
	}
	return d[i].at.Before(d[j].at)
}
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)   { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// fleet runs daemons against each other in virtual time. Every message goes
// through the peer codec, which also counts its bytes.
type fleet struct {
	now   time.Time
	rng   *rand.Rand
	cfg   membership.Config
	queue deliveries
	n     int
	nodes []*node
	at    map[string]*node
	codec *peer.Registry

	loss   float64                   // share of messages lost
	cut    func(from, to *node) bool // messages that never arrive
	onStep func(n *node, as []membership.Action)
}

const firstKind peer.Kind = 1

func newFleet(seed uint64, cfg membership.Config) *fleet {
	r := peer.NewRegistry()
	peer.Register[membership.Ping](r, firstKind)
	peer.Register[membership.Ack](r, firstKind+1)
	peer.Register[membership.PingRequest](r, firstKind+2)
	peer.Register[membership.PingResult](r, firstKind+3)
	peer.Register[membership.Gossip](r, firstKind+4)
	peer.Register[membership.ExchangeRequest](r, firstKind+5)
	peer.Register[membership.ExchangeRecords](r, firstKind+6)
	return &fleet{
		now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg, codec: r,
		at: make(map[string]*node),
	}
}

// domainsPerRegion places nodes: 17 failure domains in 6 regions when there are
// enough of them.
const domainsPerRegion = 3

func place(i, of int) (state.FailureDomain, state.Region) {
	domains := 3
	if of > 50 {
		domains = 17
	}
	d := i % domains
	return state.FailureDomain(fmt.Sprintf("domain-%d", d)), state.Region(fmt.Sprintf("region-%d", d/domainsPerRegion))
}

// add starts a daemon; a second one of the same number replaces the first.
func (f *fleet) add(i, of int, inc state.Incarnation) *node {
	domain, region := place(i, of)
	id := state.DaemonID(fmt.Sprintf("entry-%d", i))
	addr := fmt.Sprintf("10.20.%d.%d:7300", i/250, i%250)
	n := &node{id: id, peers: make(map[string]bool)}
	n.self = membership.Self{
		Member: state.Member{ID: id, Incarnation: inc},
		Meta: membership.Meta{
			PeerAddress:   addr,
			CallerAddress: fmt.Sprintf("http://10.20.%d.%d:8080", i/250, i%250),
			Domain:        domain, Region: region,
		},
	}
	n.m = membership.New(f.cfg, n.self, rand.New(rand.NewPCG(f.rng.Uint64(), 2)))
	f.nodes = append(f.nodes, n)
	f.at[addr] = n
	return n
}

// start adds n daemons that know the addresses of the first few, and lets them
// find each other.
func (f *fleet) start(n int, settle time.Duration) {
	for i := range n {
		f.add(i, n, 1)
	}
	var seeds []string
	for _, n := range f.nodes[:min(n, 9)] {
		seeds = append(seeds, n.self.Meta.PeerAddress)
	}
	for _, n := range f.nodes {
		f.step(n, membership.SetDigest{Digest: membership.Digest{DocumentsHash: f.rng.Uint64(), LoadPermille: 500}})
		f.step(n, membership.Seeds{Addresses: seeds})
	}
	f.run(settle)
}

func (f *fleet) push(d delivery) {
	f.n++
	d.n = f.n
	heap.Push(&f.queue, d)
}

// step hands ev to n and carries out what comes of it.
func (f *fleet) step(n *node, ev membership.Event) {
	as := n.m.Step(f.now, ev)
	for _, a := range as {
		if s, ok := a.(membership.Send); ok {
			f.send(n, s)
			continue
		}
		n.actions = append(n.actions, a)
	}
	if f.onStep != nil {
		f.onStep(n, as)
	}
	if next := n.m.NextTick(); n.tickAt.IsZero() || next.Before(n.tickAt) || !n.tickAt.After(f.now) {
		n.tickAt = next
		f.push(delivery{at: next, to: n})
	}
}

func (f *fleet) send(n *node, s membership.Send) {
	addr := s.Address
	if addr == "" {
		for _, t := range f.nodes {
			if t.id == s.To {
				addr = t.self.Meta.PeerAddress
			}
		}
	}
	kind, _ := f.codec.KindOf(s.Msg)
	frame, err := peer.AppendFrame(nil, peer.Envelope{Role: peer.RoleSend, Kind: kind}, s.Msg, peer.MaxFrame)
	if err != nil {
		panic(err)
	}
	n.bytes += len(frame)
	n.messages++
	n.peers[addr] = true
	to, ok := f.at[addr]
	if !ok || f.rng.Float64() < f.loss || f.cut != nil && f.cut(n, to) {
		return
	}
	const frameHead = 5 // length and version
	e, err := peer.DecodeEnvelope(frame[frameHead:])
	if err != nil {
		panic(err)
	}
	msg, err := f.codec.Decode(e)
	if err != nil {
		panic(err)
	}
	delay := 200*time.Microsecond + time.Duration(f.rng.IntN(400))*time.Microsecond
	if n.self.Meta.Region != to.self.Meta.Region {
		delay += 60 * time.Millisecond
	}
	f.push(delivery{at: f.now.Add(delay), to: to, from: n.self.Member, msg: msg.(membership.Message)})
}

// run lets d of virtual time pass.
func (f *fleet) run(d time.Duration) {
	f.runUntil(d, func() bool { return false })
}

// runUntil lets time pass until done holds, asked every 50 ms, or d has passed,
// and gives the time that it took.
func (f *fleet) runUntil(d time.Duration, done func() bool) (time.Duration, bool) {
	const check = 50 * time.Millisecond
	start := f.now
	for f.now.Sub(start) < d {
		until := f.now.Add(check)
		for len(f.queue) > 0 && !f.queue[0].at.After(until) {
			f.deliver(heap.Pop(&f.queue).(delivery))
		}
		f.now = until
		if done() {
			return f.now.Sub(start), true
		}
	}
	return d, false
}

func (f *fleet) deliver(d delivery) {
	n := d.to
	if n.dead {
		return
	}
	if d.at.Before(n.pausedUntil) {
		// What reaches a paused process waits in its sockets.
		d.at = n.pausedUntil
		f.push(d)
		return
	}
	f.now = d.at
	if d.msg != nil {
		f.step(n, membership.Received{From: d.from, Msg: d.msg})
		return
	}
	if d.at.Equal(n.tickAt) || n.tickAt.Before(d.at) {
		n.tickAt = time.Time{}
		f.step(n, membership.Tick{})
	}
}

func (f *fleet) pause(n *node, d time.Duration) {
	n.pausedUntil = f.now.Add(d)
}

// living gives the nodes that run.
func (f *fleet) living() []*node {
	var out []*node
	for _, n := range f.nodes {
		if !n.dead {
			out = append(out, n)
		}
	}
	return out
}

// all reports whether every living node's view satisfies ok.
func (f *fleet) all(ok func(n *node, v *membership.View) bool) bool {
	for _, n := range f.living() {
		if !ok(n, n.m.View()) {
			return false
		}
	}
	return true
}

// allSee reports whether every living node but id itself holds id in state s.
func (f *fleet) allSee(id state.DaemonID, s membership.State) bool {
	return f.all(func(n *node, v *membership.View) bool {
		i, ok := v.Lookup(id)
		return n.id == id || ok && i.State == s
	})
}

// converged reports whether every living node holds exactly the living ones alive.
func (f *fleet) converged() bool {
	want := len(f.living())
	return f.all(func(_ *node, v *membership.View) bool {
		alive := 0
		for _, i := range v.Members {
			if i.State == membership.Alive {
				alive++
			}
		}
		return alive == want
	})
}

// tally counts by kind what the nodes did since the last clear.
type tally struct {
	suspected, died, refuted, late int
}

func (f *fleet) tally() tally {
	var t tally
	for _, n := range f.nodes {
		for _, a := range n.actions {
			switch a := a.(type) {
			case membership.MemberChanged:
				if a.To == membership.Suspect {
					t.suspected++
				}
				if a.To == membership.Dead {
					t.died++
				}
			case membership.Refuted:
				t.refuted++
			case membership.PauseDetected:
				t.late++
			}
		}
	}
	return t
}

func (f *fleet) clear() {
	for _, n := range f.nodes {
		n.actions, n.bytes, n.messages = nil, 0, 0
	}
}
