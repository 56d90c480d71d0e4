package daemon

import (
	"time"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/claims"
	"github.com/hibiscuswick/hibiscuswick/coordination/documents"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/route"
	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

const (
	connectivityInterval = time.Second
	numKeyHomes          = 5 // daemons that batch claims; docs/design/at-most-once.md
)

// membersTracker tracks the other daemons and passes changes to the other
// components.
type membersTracker struct {
	c              *control
	machine        *membership.Membership
	self           membership.Self
	view           *membership.View
	connectivityAt time.Time

	keyHomes []state.DaemonID // daemons that batch claims

	// unreachableUntil holds the incarnations of daemons that could not be
	// reached, with the time until which they count as gone. The membership
	// view detects a death only after some seconds, and a caller that
	// re-attaches should not wait for that.
	unreachableUntil map[state.Member]time.Time
}

// unreachableTTL is how long a daemon that could not be reached counts as gone.
const unreachableTTL = 15 * time.Second

func newMembersTracker(c *control) *membersTracker {
	d := c.d
	self := membership.Self{
		Member: d.self,
		Meta: membership.Meta{
			PeerAddress:   d.peerAdvertise(),
			CallerAddress: "http://" + d.callerAdvertise(),
			Domain:        d.config.FailureDomain,
			Region:        d.config.Region,
		},
	}
	m := membership.New(membership.Config{
		ProbeInterval: d.config.Peers.ProbeInterval.Std(),
		ProbeTimeout:  d.config.Peers.ProbeTimeout.Std(),
		SuspicionMin:  d.config.Peers.SuspicionTimeout.Std(),
		SuspicionMax:  2 * d.config.Peers.SuspicionTimeout.Std(),
	}, self, c.rng)
	return &membersTracker{c: c, machine: m, self: self, view: m.View(), unreachableUntil: make(map[state.Member]time.Time)}
}

func (mt *membersTracker) nextTick(now time.Time) time.Time {
	if mt.connectivityAt.IsZero() {
		return now
	}
	next := mt.machine.NextTick()
	if next.IsZero() || mt.connectivityAt.Before(next) {
		return mt.connectivityAt
	}
	return next
}

func (mt *membersTracker) tick(now time.Time) {
	mt.step(membership.Tick{})
	if !now.Before(mt.connectivityAt) {
		mt.connectivityAt = now.Add(connectivityInterval)
		mt.reportConnectivity()
	}
}

func (mt *membersTracker) step(ev membership.Event) {
	for _, a := range mt.machine.Step(mt.c.now, ev) {
		mt.carryOut(a)
	}
}

func (mt *membersTracker) carryOut(a membership.Action) {
	log := mt.c.d.log
	switch a := a.(type) {
	case membership.Send:
		_ = mt.c.d.node.Send(a.Address, a.Msg) // a lost message counts as a missed probe
	case membership.ViewChanged:
		mt.view = mt.machine.View()
		mt.c.afterStep(mt.viewChanged)
	case membership.MemberChanged:
		mt.logChange(a)
	case membership.DigestChanged:
		mt.c.documents.step(documents.Received{From: a.From, Msg: documents.Digest{Hash: a.Digest.DocumentsHash}})
	case membership.FactLearned:
		mt.c.backends.handleFact(a.Fact)
	case membership.Refuted:
		log.Emit(telemetry.EventSelfSuspected)
	case membership.PauseDetected:
		log.Emit(telemetry.EventSelfSuspected, telemetry.Duration(a.Delay), telemetry.Detail("this daemon was paused"))
	case membership.Superseded:
		log.Emit(telemetry.EventIncarnationSuperseded, telemetry.Incarnation(a.By))
		go mt.c.d.Kill()
	}
}

func (mt *membersTracker) logChange(a membership.MemberChanged) {
	event := telemetry.EventMemberRefuted
	switch {
	case a.New && a.To == membership.Alive:
		event = telemetry.EventMemberJoined
	case a.To == membership.Suspect:
		event = telemetry.EventMemberSuspected
	case a.To == membership.Dead:
		event = telemetry.EventMemberDied
	case a.To == membership.Left:
		event = telemetry.EventMemberLeft
	}
	mt.c.d.log.Emit(event, telemetry.Peer(a.Member.ID), telemetry.Incarnation(a.Member.Incarnation))
}

// live returns the live members, this daemon included.
func (mt *membersTracker) live() []membership.Info {
	return lo.Filter(mt.view.Members, func(i membership.Info, _ int) bool { return i.Live() })
}

func (mt *membersTracker) liveIDs() []state.DaemonID {
	return lo.Map(mt.live(), func(i membership.Info, _ int) state.DaemonID { return i.Member.ID })
}

// isLive reports whether this incarnation of a daemon is live.
func (mt *membersTracker) isLive(m state.Member) bool {
	info, ok := mt.view.Lookup(m.ID)
	return ok && info.Live() && info.Member == m
}

// markUnreachable records that an incarnation of a daemon could not be reached.
// It only decides between joining its requests and taking them over, both of
// which are safe.
func (mt *membersTracker) markUnreachable(m state.Member) {
	for old, until := range mt.unreachableUntil {
		if mt.c.now.After(until) {
			delete(mt.unreachableUntil, old)
		}
	}
	mt.unreachableUntil[m] = mt.c.now.Add(unreachableTTL)
}

// drivesRequests reports whether an incarnation of a daemon is assumed to drive
// its requests.
func (mt *membersTracker) drivesRequests(m state.Member) bool {
	return mt.isLive(m) && !mt.c.now.Before(mt.unreachableUntil[m])
}

// address returns a daemon's peer address, or "".
func (mt *membersTracker) address(id state.DaemonID) string {
	info, ok := mt.view.Lookup(id)
	if !ok {
		return ""
	}
	return info.Meta.PeerAddress
}

// viewChanged passes the new membership view to the other components.
func (mt *membersTracker) viewChanged() {
	live := mt.live()
	mt.c.d.metrics.Set(telemetry.LiveMembers, float64(len(live)))
	mt.keyHomes = claims.KeyHomes(mt.liveIDs(), numKeyHomes)
	mt.c.slots.stepRouter(route.ViewChanged{Live: lo.Map(live, func(i membership.Info, _ int) route.Peer {
		return route.Peer{Member: i.Member, Region: i.Meta.Region, Draining: i.Draining}
	})})
	mt.c.limits.membersChanged(live)
	mt.c.quarantine.membersChanged(live)
	mt.c.leases.membersChanged(live)
	mt.c.catalog.membersChanged(live)
	mt.c.store.rolesChanged()
	mt.c.d.publish(func(v *view) { v.members = mt.view })
}

// reportConnectivity passes the live and the known daemons to the documents,
// which stay current only in contact with enough of them.
func (mt *membersTracker) reportConnectivity() {
	others := lo.FilterMap(mt.live(), func(i membership.Info, _ int) (state.Member, bool) {
		return i.Member, i.Member.ID != mt.self.Member.ID
	})
	mt.c.documents.step(documents.Members{Live: others, Known: mt.view.Connectivity.Known})
}
