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

// node is one daemon of a cluster in virtual time.
type node struct {
	id          state.DaemonID
	self        membership.Self
	m           *membership.Membership
	dead        bool
	pausedUntil time.Time
	tickAt      time.Time

	bytes, messages int // sent
	peers           map[string]bool
	actions         []membership.Action // all except Send, since the last clear
}

// delivery is a message or a tick that is scheduled for a node.
type delivery struct {
	at   time.Time
	seq  int // breaks ties in the order of sending
	to   *node
	from state.Member
	msg  membership.Message // nil for a tick
}

type deliveries []delivery

func (d deliveries) Len() int { return len(d) }
func (d deliveries) Less(i, j int) bool {
	if d[i].at.Equal(d[j].at) {
		return d[i].seq < d[j].seq
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

// cluster runs daemons against each other in virtual time. Every message passes through the
// peer codec, which also determines its size.
type cluster struct {
	now       time.Time
	rng       *rand.Rand
	cfg       membership.Config
	queue     deliveries
	pushed    int
	nodes     []*node
	byAddress map[string]*node
	registry  *peer.Registry

	loss    float64                   // share of messages lost
	blocked func(from, to *node) bool // selects messages that never arrive
	onStep  func(n *node, as []membership.Action)
}

const firstKind peer.Kind = 1

func newCluster(seed uint64, cfg membership.Config) *cluster {
	r := peer.NewRegistry()
	peer.Register[membership.Ping](r, firstKind)
	peer.Register[membership.Ack](r, firstKind+1)
	peer.Register[membership.PingRequest](r, firstKind+2)
	peer.Register[membership.PingResult](r, firstKind+3)
	peer.Register[membership.Gossip](r, firstKind+4)
	peer.Register[membership.ExchangeRequest](r, firstKind+5)
	peer.Register[membership.ExchangeRecords](r, firstKind+6)
	return &cluster{
		now: epoch, rng: rand.New(rand.NewPCG(seed, 1)), cfg: cfg, registry: r,
		byAddress: make(map[string]*node),
	}
}

// domainsPerRegion is the number of failure domains per region. Clusters of more than 50
// daemons have 17 failure domains in 6 regions.
const domainsPerRegion = 3

func placement(i, of int) (state.FailureDomain, state.Region) {
	domains := 3
	if of > 50 {
		domains = 17
	}
	d := i % domains
	return state.FailureDomain(fmt.Sprintf("domain-%d", d)), state.Region(fmt.Sprintf("region-%d", d/domainsPerRegion))
}

// add starts a daemon; a second one with the same number replaces the first.
func (c *cluster) add(i, of int, inc state.Incarnation) *node {
	domain, region := placement(i, of)
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
	n.m = membership.New(c.cfg, n.self, rand.New(rand.NewPCG(c.rng.Uint64(), 2)))
	c.nodes = append(c.nodes, n)
	c.byAddress[addr] = n
	return n
}

// start adds n daemons that know the addresses of the first nine, and runs the cluster for
// settle.
func (c *cluster) start(n int, settle time.Duration) {
	for i := range n {
		c.add(i, n, 1)
	}
	var seeds []string
	for _, n := range c.nodes[:min(n, 9)] {
		seeds = append(seeds, n.self.Meta.PeerAddress)
	}
	for _, n := range c.nodes {
		c.step(n, membership.SetDigest{Digest: membership.Digest{DocumentsHash: c.rng.Uint64(), LoadPermille: 500}})
		c.step(n, membership.Seeds{Addresses: seeds})
	}
	c.run(settle)
}

func (c *cluster) push(d delivery) {
	c.pushed++
	d.seq = c.pushed
	heap.Push(&c.queue, d)
}

// step passes ev to n and performs the resulting actions.
func (c *cluster) step(n *node, ev membership.Event) {
	as := n.m.Step(c.now, ev)
	for _, a := range as {
		if s, ok := a.(membership.Send); ok {
			c.send(n, s)
			continue
		}
		n.actions = append(n.actions, a)
	}
	if c.onStep != nil {
		c.onStep(n, as)
	}
	if next := n.m.NextTick(); n.tickAt.IsZero() || next.Before(n.tickAt) || !n.tickAt.After(c.now) {
		n.tickAt = next
		c.push(delivery{at: next, to: n})
	}
}

func (c *cluster) send(n *node, s membership.Send) {
	addr := s.Address
	kind, _ := c.registry.KindOf(s.Msg)
	frame, err := peer.AppendFrame(nil, peer.Envelope{Role: peer.RoleSend, Kind: kind}, s.Msg, peer.MaxFrame)
	if err != nil {
		panic(err)
	}
	n.bytes += len(frame)
	n.messages++
	n.peers[addr] = true
	to, ok := c.byAddress[addr]
	if !ok || c.rng.Float64() < c.loss || c.blocked != nil && c.blocked(n, to) {
		return
	}
	const frameHead = 5 // length and version
	e, err := peer.DecodeEnvelope(frame[frameHead:])
	if err != nil {
		panic(err)
	}
	msg, err := c.registry.Decode(e)
	if err != nil {
		panic(err)
	}
	delay := 200*time.Microsecond + time.Duration(c.rng.IntN(400))*time.Microsecond
	if n.self.Meta.Region != to.self.Meta.Region {
		delay += 60 * time.Millisecond
	}
	c.push(delivery{at: c.now.Add(delay), to: to, from: n.self.Member, msg: msg.(membership.Message)})
}

// run advances virtual time by d.
func (c *cluster) run(d time.Duration) {
	c.runUntil(d, func() bool { return false })
}

// runUntil advances virtual time until done, which is checked every 50 ms, returns true or d
// has passed, and returns the elapsed time.
func (c *cluster) runUntil(d time.Duration, done func() bool) (time.Duration, bool) {
	const check = 50 * time.Millisecond
	start := c.now
	for c.now.Sub(start) < d {
		until := c.now.Add(check)
		for len(c.queue) > 0 && !c.queue[0].at.After(until) {
			c.deliver(heap.Pop(&c.queue).(delivery))
		}
		c.now = until
		if done() {
			return c.now.Sub(start), true
		}
	}
	return d, false
}

func (c *cluster) deliver(d delivery) {
	n := d.to
	if n.dead {
		return
	}
	if d.at.Before(n.pausedUntil) {
		// Messages to a paused process wait in its sockets.
		d.at = n.pausedUntil
		c.push(d)
		return
	}
	c.now = d.at
	if d.msg != nil {
		c.step(n, membership.Received{From: d.from, Msg: d.msg})
		return
	}
	if d.at.Equal(n.tickAt) || n.tickAt.Before(d.at) {
		n.tickAt = time.Time{}
		c.step(n, membership.Tick{})
	}
}

func (c *cluster) pause(n *node, d time.Duration) {
	n.pausedUntil = c.now.Add(d)
}

// running returns the nodes that have not died.
func (c *cluster) running() []*node {
	var out []*node
	for _, n := range c.nodes {
		if !n.dead {
			out = append(out, n)
		}
	}
	return out
}

// everyView reports whether the view of every running node satisfies ok.
func (c *cluster) everyView(ok func(n *node, v *membership.View) bool) bool {
	for _, n := range c.running() {
		if !ok(n, n.m.View()) {
			return false
		}
	}
	return true
}

// allHold reports whether every running node except id itself considers id to be in state s.
func (c *cluster) allHold(id state.DaemonID, s membership.State) bool {
	return c.everyView(func(n *node, v *membership.View) bool {
		i, ok := v.Lookup(id)
		return n.id == id || ok && i.State == s
	})
}

// converged reports whether every running node considers exactly the running ones alive.
func (c *cluster) converged() bool {
	want := len(c.running())
	return c.everyView(func(_ *node, v *membership.View) bool {
		alive := 0
		for _, i := range v.Members {
			if i.State == membership.Alive {
				alive++
			}
		}
		return alive == want
	})
}

// tally counts the nodes' actions by kind since the last clear.
type tally struct {
	suspected, died, refuted, pauses int
}

func (c *cluster) tally() tally {
	var t tally
	for _, n := range c.nodes {
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
				t.pauses++
			}
		}
	}
	return t
}

func (c *cluster) clear() {
	for _, n := range c.nodes {
		n.actions, n.bytes, n.messages = nil, 0, 0
	}
}
