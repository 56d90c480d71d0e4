package catalog

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/controller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Config is a daemon's settings.
type Config struct {
	Fanout            int           // peers told of a change at once
	CompareInterval   time.Duration // between comparisons with one peer
	PullRetryInterval time.Duration // until an unanswered Want may be sent again
	MaxLogLength      int           // changes kept per service, to answer Want with
	PartSize          int           // replicas in one message
}

// DefaultConfig returns the settings that docs/design/leases-and-orders.md works
// out.
func DefaultConfig() Config {
	return Config{Fanout: 3, CompareInterval: time.Second, PullRetryInterval: 500 * time.Millisecond, MaxLogLength: 64, PartSize: 64}
}

// entry is one service's table.
type entry struct {
	table   controller.ReplicaTable
	log     []Delta // changes that led here, each From the To before
	parts   []Delta // of a Delta that has not come whole
	wanted  Version
	askedAt time.Time
}

// Catalog holds the tables in force at one daemon.
type Catalog struct {
	cfg     Config
	rng     *rand.Rand
	live    []state.DaemonID
	entries map[state.ServiceID]*entry
	next    time.Time
}

// New returns an empty catalog.
func New(cfg Config, rng *rand.Rand) *Catalog {
	return &Catalog{cfg: cfg, rng: rng, entries: make(map[state.ServiceID]*entry)}
}

// Get returns the table in force of a service.
func (c *Catalog) Get(service state.ServiceID) (controller.ReplicaTable, bool) {
	e, ok := c.entries[service]
	if !ok {
		return controller.ReplicaTable{}, false
	}
	return e.table, true
}

// NextTick says when the catalog next wants a Tick.
func (c *Catalog) NextTick() time.Time {
	return c.next
}

// Step takes in one event and returns what is to be done.
func (c *Catalog) Step(now time.Time, ev Event) []Action {
	var out []Action
	switch ev := ev.(type) {
	case Tick:
	case Members:
		c.live = slices.Clone(ev.Live)
	case OfferTable:
		out = c.offered(ev.Table)
	case Received:
		out = c.received(now, ev)
	default:
		panic(fmt.Sprintf("catalog: unknown event %T", ev))
	}
	if now.Before(c.next) {
		return out
	}
	c.next = now.Add(c.cfg.CompareInterval)
	return c.tell(out, 1, Versions{Services: c.held(), All: true})
}

func (c *Catalog) held() []ServiceVersion {
	ids := lo.Keys(c.entries)
	slices.Sort(ids)
	return lo.Map(ids, func(id state.ServiceID, _ int) ServiceVersion {
		return ServiceVersion{Service: id, Version: versionOf(c.entries[id].table)}
	})
}

// tell sends a message to n random peers.
func (c *Catalog) tell(out []Action, n int, msg Message) []Action {
	for _, i := range c.rng.Perm(len(c.live))[:min(n, len(c.live))] {
		out = append(out, Send{To: c.live[i], Msg: msg})
	}
	return out
}

func (c *Catalog) entry(service state.ServiceID) *entry {
	e, ok := c.entries[service]
	if !ok {
		e = &entry{table: controller.ReplicaTable{Service: service}}
		c.entries[service] = e
	}
	return e
}

// offered takes in a whole table if it is newer.
func (c *Catalog) offered(t controller.ReplicaTable) []Action {
	e := c.entry(t.Service)
	if !t.Newer(e.table) {
		return nil
	}
	return c.install(e, t)
}

func (c *Catalog) install(e *entry, t controller.ReplicaTable) []Action {
	t.Replicas = slices.Clone(t.Replicas)
	slices.SortFunc(t.Replicas, byID)
	e.log = append(e.log, difference(e.table, t))
	if len(e.log) > c.cfg.MaxLogLength {
		e.log = slices.Clone(e.log[1:])
	}
	e.table = t
	e.parts = nil
	out := []Action{TableChanged{Table: t}}
	return c.tell(out, c.cfg.Fanout, Versions{Services: []ServiceVersion{{Service: t.Service, Version: versionOf(t)}}})
}

func byID(a, b controller.Replica) int {
	return cmp.Compare(a.Chain.ID, b.Chain.ID)
}

func (c *Catalog) received(now time.Time, ev Received) []Action {
	switch msg := ev.Msg.(type) {
	case Versions:
		return c.compare(now, ev.From.ID, msg)
	case Pull:
		return c.answer(ev.From.ID, msg)
	case Delta:
		return c.delta(msg)
	default:
		panic(fmt.Sprintf("catalog: unknown message %T", msg))
	}
}

// compare asks for what the peer has newer and, of a full list, tells what it has
// older.
func (c *Catalog) compare(now time.Time, from state.DaemonID, msg Versions) []Action {
	var out []Action
	var newer []ServiceVersion
	theirs := make(map[state.ServiceID]Version, len(msg.Services))
	for _, h := range msg.Services {
		theirs[h.Service] = h.Version
		e := c.entry(h.Service)
		mine := versionOf(e.table)
		if !h.Version.newer(mine) {
			continue
		}
		asked := e.wanted == h.Version || e.wanted.newer(h.Version)
		if asked && now.Sub(e.askedAt) < c.cfg.PullRetryInterval {
			continue // several peers tell of one change; one of them is enough
		}
		e.wanted, e.askedAt = h.Version, now
		out = append(out, Send{To: from, Msg: Pull{Service: h.Service, Have: mine}})
	}
	if !msg.All {
		return out
	}
	for _, h := range c.held() {
		if h.Version.newer(theirs[h.Service]) {
			newer = append(newer, h)
		}
	}
	if len(newer) > 0 {
		out = append(out, Send{To: from, Msg: Versions{Services: newer}})
	}
	return out
}

// answer sends the changes since the peer's version, or the whole table if they
// are not kept any more.
func (c *Catalog) answer(to state.DaemonID, msg Pull) []Action {
	e, ok := c.entries[msg.Service]
	if !ok || !versionOf(e.table).newer(msg.Have) {
		return nil
	}
	d, ok := since(e.log, msg.Have)
	if !ok {
		d = difference(controller.ReplicaTable{Service: msg.Service}, e.table)
	}
	var out []Action
	sets := lo.Chunk(d.Set, c.cfg.PartSize)
	if len(sets) == 0 {
		sets = [][]controller.Replica{nil}
	}
	for i, set := range sets {
		p := d
		p.Set, p.Part, p.Parts = set, i, len(sets)
		if i > 0 {
			p.Removed = nil
		}
		out = append(out, Send{To: to, Msg: p})
	}
	return out
}

// delta applies a change once all its parts are there. One that does not fit the
// table held is dropped; the next comparison asks again.
func (c *Catalog) delta(d Delta) []Action {
	e := c.entry(d.Service)
	mine := versionOf(e.table)
	if !d.To.newer(mine) || (d.From != mine && d.From != Version{}) || d.Parts < 1 {
		return nil
	}
	if len(e.parts) > 0 && (e.parts[0].To != d.To || e.parts[0].From != d.From || e.parts[0].Parts != d.Parts) {
		e.parts = nil
	}
	if lo.ContainsBy(e.parts, func(p Delta) bool { return p.Part == d.Part }) {
		return nil
	}
	e.parts = append(e.parts, d)
	if len(e.parts) < d.Parts {
		return nil
	}
	return c.install(e, apply(e.table, e.parts))
}
