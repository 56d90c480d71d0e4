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

// Config holds the parameters of a daemon's catalog.
type Config struct {
	Fanout            int           // peers notified immediately of a change
	CompareInterval   time.Duration // time between comparisons with one peer
	PullRetryInterval time.Duration // time until an unanswered Pull may be sent again
	MaxLogLength      int           // changes kept per service for answering Pull
	PartSize          int           // maximum number of replicas in one message
}

// DefaultConfig returns the parameters derived in docs/design/leases-and-orders.md.
func DefaultConfig() Config {
	return Config{Fanout: 3, CompareInterval: time.Second, PullRetryInterval: 500 * time.Millisecond, MaxLogLength: 64, PartSize: 64}
}

// entry holds one service's table.
type entry struct {
	table        controller.ReplicaTable
	log          []Delta // the changes up to table; each From is the previous To
	pendingParts []Delta // parts received of an incomplete Delta
	requested    Version
	requestedAt  time.Time
}

// Catalog holds one daemon's active table of each service.
type Catalog struct {
	cfg         Config
	rng         *rand.Rand
	live        []state.DaemonID
	entries     map[state.ServiceID]*entry
	nextCompare time.Time
}

// New returns an empty catalog.
func New(cfg Config, rng *rand.Rand) *Catalog {
	return &Catalog{cfg: cfg, rng: rng, entries: make(map[state.ServiceID]*entry)}
}

// Get returns the active table of a service.
func (c *Catalog) Get(service state.ServiceID) (controller.ReplicaTable, bool) {
	e, ok := c.entries[service]
	if !ok {
		return controller.ReplicaTable{}, false
	}
	return e.table, true
}

// NextTick returns when the catalog next needs a Tick.
func (c *Catalog) NextTick() time.Time {
	return c.nextCompare
}

// Step applies one event and returns the actions to perform.
func (c *Catalog) Step(now time.Time, ev Event) []Action {
	var out []Action
	switch ev := ev.(type) {
	case Tick:
	case Members:
		c.live = slices.Clone(ev.Live)
	case OfferTable:
		out = c.offer(ev.Table)
	case Received:
		out = c.handleMessage(now, ev)
	default:
		panic(fmt.Sprintf("catalog: unknown event %T", ev))
	}
	if now.Before(c.nextCompare) {
		return out
	}
	c.nextCompare = now.Add(c.cfg.CompareInterval)
	return c.sendToRandom(out, 1, Versions{Services: c.versions(), All: true})
}

func (c *Catalog) versions() []ServiceVersion {
	ids := lo.Keys(c.entries)
	slices.Sort(ids)
	return lo.Map(ids, func(id state.ServiceID, _ int) ServiceVersion {
		return ServiceVersion{Service: id, Version: versionOf(c.entries[id].table)}
	})
}

// sendToRandom sends a message to n random peers.
func (c *Catalog) sendToRandom(out []Action, n int, msg Message) []Action {
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

// offer installs a complete table if it is newer than the active one.
func (c *Catalog) offer(t controller.ReplicaTable) []Action {
	e := c.entry(t.Service)
	if !t.Newer(e.table) {
		return nil
	}
	return c.install(e, t)
}

func (c *Catalog) install(e *entry, t controller.ReplicaTable) []Action {
	t.Replicas = slices.Clone(t.Replicas)
	slices.SortFunc(t.Replicas, byID)
	e.log = append(e.log, diff(e.table, t))
	if len(e.log) > c.cfg.MaxLogLength {
		e.log = slices.Clone(e.log[1:])
	}
	e.table = t
	e.pendingParts = nil
	out := []Action{TableChanged{Table: t}}
	return c.sendToRandom(out, c.cfg.Fanout, Versions{Services: []ServiceVersion{{Service: t.Service, Version: versionOf(t)}}})
}

func byID(a, b controller.Replica) int {
	return cmp.Compare(a.Chain.ID, b.Chain.ID)
}

func (c *Catalog) handleMessage(now time.Time, ev Received) []Action {
	switch msg := ev.Msg.(type) {
	case Versions:
		return c.handleVersions(now, ev.From.ID, msg)
	case Pull:
		return c.handlePull(ev.From.ID, msg)
	case Delta:
		return c.handleDelta(msg)
	default:
		panic(fmt.Sprintf("catalog: unknown message %T", msg))
	}
}

// handleVersions pulls what the peer has newer and, if the peer sent a complete list, announces
// the services for which it has an older version.
func (c *Catalog) handleVersions(now time.Time, from state.DaemonID, msg Versions) []Action {
	var out []Action
	var newer []ServiceVersion
	theirs := make(map[state.ServiceID]Version, len(msg.Services))
	for _, sv := range msg.Services {
		theirs[sv.Service] = sv.Version
		e := c.entry(sv.Service)
		mine := versionOf(e.table)
		if !sv.Version.newer(mine) {
			continue
		}
		alreadyRequested := e.requested == sv.Version || e.requested.newer(sv.Version)
		if alreadyRequested && now.Sub(e.requestedAt) < c.cfg.PullRetryInterval {
			continue // several peers announce one change; one Pull is enough
		}
		e.requested, e.requestedAt = sv.Version, now
		out = append(out, Send{To: from, Msg: Pull{Service: sv.Service, Have: mine}})
	}
	if !msg.All {
		return out
	}
	for _, sv := range c.versions() {
		if sv.Version.newer(theirs[sv.Service]) {
			newer = append(newer, sv)
		}
	}
	if len(newer) > 0 {
		out = append(out, Send{To: from, Msg: Versions{Services: newer}})
	}
	return out
}

// handlePull sends the changes since the peer's version, or the complete table if they are no
// longer in the log.
func (c *Catalog) handlePull(to state.DaemonID, msg Pull) []Action {
	e, ok := c.entries[msg.Service]
	if !ok || !versionOf(e.table).newer(msg.Have) {
		return nil
	}
	d, ok := changesSince(e.log, msg.Have)
	if !ok {
		d = diff(controller.ReplicaTable{Service: msg.Service}, e.table)
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

// handleDelta applies a change when all of its parts have arrived. A change that does not apply
// to the active table is dropped; the next comparison causes another Pull.
func (c *Catalog) handleDelta(d Delta) []Action {
	e := c.entry(d.Service)
	mine := versionOf(e.table)
	if !d.To.newer(mine) || (d.From != mine && d.From != Version{}) || d.Parts < 1 {
		return nil
	}
	if len(e.pendingParts) > 0 && (e.pendingParts[0].To != d.To || e.pendingParts[0].From != d.From || e.pendingParts[0].Parts != d.Parts) {
		e.pendingParts = nil
	}
	if lo.ContainsBy(e.pendingParts, func(p Delta) bool { return p.Part == d.Part }) {
		return nil
	}
	e.pendingParts = append(e.pendingParts, d)
	if len(e.pendingParts) < d.Parts {
		return nil
	}
	return c.install(e, applyParts(e.table, e.pendingParts))
}
