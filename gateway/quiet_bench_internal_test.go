package gateway

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/following"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/protocol/peer"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// BenchmarkQuiet measures in virtual time what the control goroutine of a daemon does while
// nothing changes: wake-ups and messages of the membership and of both feeds.
//
//	go test ./gateway -run xxx -bench Quiet -benchtime 1x
func BenchmarkQuiet(b *testing.B) {
	for _, n := range []int{30, 99, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			const (
				settling = 60 * time.Second
				measured = 30 * time.Second
			)
			for range b.N {
				s := newQuietSite(n)
				s.run(settling)
				for _, d := range s.daemons {
					d.count = quietCount{}
				}
				began := time.Now()
				s.run(measured)
				s.report(b, measured, time.Since(began))
			}
		})
	}
}

// quietCount counts what a daemon does.
type quietCount struct {
	timers, memberships, announcements int // wake-ups by cause
	membershipSent, announcementsSent  int
	membershipBytes, announcementBytes int
	views                              int // changes of the view
}

func (c quietCount) wakeUps() int { return c.timers + c.memberships + c.announcements }

type quietDaemon struct {
	self    membership.Self
	members *membership.Membership
	view    *membership.View
	feeds   []*following.Machine
	timerAt time.Time

	viewChanged bool
	count       quietCount
	learned     func(membership.Fact) // nil if facts don't matter
}

type quietEvent struct {
	at  time.Time
	seq int
	run func()
}

type quietEvents []quietEvent

func (e quietEvents) Len() int { return len(e) }
func (e quietEvents) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e quietEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *quietEvents) Push(x any)   { *e = append(*e, x.(quietEvent)) }
func (e *quietEvents) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// quietSite runs daemons in virtual time against a store that does not change.
type quietSite struct {
	now       time.Time
	rng       *rand.Rand
	queue     quietEvents
	pushed    int
	daemons   []*quietDaemon
	byAddress map[string]*quietDaemon
	registry  *peer.Registry
}

func newQuietSite(n int) *quietSite {
	s := &quietSite{
		now: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(uint64(n), 1)), byAddress: make(map[string]*quietDaemon), registry: newRegistry(),
	}
	var seeds []string
	for i := range n {
		address := fmt.Sprintf("10.20.%d.%d:7300", i/250, i%250)
		d := &quietDaemon{self: membership.Self{
			Member: state.Member{ID: state.DaemonID(fmt.Sprintf("d%03d", i)), Incarnation: 1},
			Meta: membership.Meta{
				PeerAddress: address, CallerAddress: "http://" + address, Domain: state.FailureDomain(fmt.Sprint(i % 3)), Region: "r",
			},
		}}
		d.members = membership.New(membership.Config{
			ProbeInterval: probeInterval, ProbeTimeout: probeTimeout, SuspicionMin: suspicionMin, SuspicionMax: 2 * suspicionMin,
		}, d.self, rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
		for _, feed := range []string{"configuration", "servers"} {
			m := following.New(d.self.Member, feed, maxStoreAge, s.now)
			m.StoreAnswered(s.now, 1, true)
			d.feeds = append(d.feeds, m)
		}
		d.view = d.members.View()
		s.daemons = append(s.daemons, d)
		s.byAddress[address] = d
		seeds = append(seeds, address)
	}
	for _, d := range s.daemons {
		s.step(d, membership.Seeds{Addresses: seeds})
		for i := range d.feeds {
			s.after(time.Duration(s.rng.Int64N(int64(longPollWait))), func() { s.answerStore(d, i) })
		}
	}
	return s
}

func (s *quietSite) after(d time.Duration, run func()) {
	s.pushed++
	heap.Push(&s.queue, quietEvent{at: s.now.Add(d), seq: s.pushed, run: run})
}

func (s *quietSite) run(d time.Duration) {
	until := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].at.After(until) {
		e := heap.Pop(&s.queue).(quietEvent)
		s.now = e.at
		e.run()
	}
	s.now = until
}

// answerStore ends a long poll of a daemon without news.
func (s *quietSite) answerStore(d *quietDaemon, feed int) {
	if d.feeds[feed].Mode(s.now) == following.ModeStore {
		d.count.timers++
		revision, _ := d.feeds[feed].Revision()
		d.feeds[feed].StoreAnswered(s.now, revision, false)
		s.tick(d)
	}
	s.after(longPollWait, func() { s.answerStore(d, feed) })
}

// tick does what control.tick does, and sets the timer.
func (s *quietSite) tick(d *quietDaemon) {
	s.step(d, membership.Tick{})
	if d.viewChanged {
		d.viewChanged = false
		d.count.views++
		d.view = d.members.View()
		var daemons []following.Daemon
		for _, i := range d.view.Members {
			if i.Live() {
				daemons = append(daemons, following.Daemon{ID: i.Member.ID, Domain: i.Meta.Domain, Eligible: true})
			}
		}
		for _, m := range d.feeds {
			m.SetMembers(daemons)
		}
	}
	next := earlier(s.now.Add(10*tickInterval), d.members.NextTick())
	for _, m := range d.feeds {
		if ann, ok := m.Announce(s.now); ok {
			s.forward(d, m, ann)
		}
		if t := m.NextTick(s.now); !t.IsZero() {
			next = earlier(next, t)
		}
	}
	if next.Before(s.now.Add(minTickInterval)) {
		next = s.now.Add(minTickInterval)
	}
	d.timerAt = next
	s.after(next.Sub(s.now), func() {
		if d.timerAt.Equal(s.now) {
			d.count.timers++
			s.tick(d)
		}
	})
}

func (s *quietSite) step(d *quietDaemon, ev membership.Event) {
	for _, a := range d.members.Step(s.now, ev) {
		if _, ok := a.(membership.ViewChanged); ok {
			d.viewChanged = true
		}
		if fact, ok := a.(membership.FactLearned); ok && d.learned != nil {
			d.learned(fact.Fact)
		}
		send, ok := a.(membership.Send)
		if !ok {
			continue
		}
		d.count.membershipSent++
		d.count.membershipBytes += s.size(send.Msg)
		to, ok := s.byAddress[send.Address]
		if !ok {
			continue // the sender's address is not known yet
		}
		s.deliver(func() {
			to.count.memberships++
			s.step(to, membership.Received{From: d.self.Member, Msg: send.Msg})
			s.tick(to)
		})
	}
}

func (s *quietSite) forward(d *quietDaemon, m *following.Machine, ann following.Announcement) {
	for _, id := range m.ForwardTargets(ann.Origin.ID) {
		info, ok := d.view.Lookup(id)
		if !ok {
			continue
		}
		d.count.announcementsSent++
		d.count.announcementBytes += s.size(ann)
		to := s.byAddress[info.Meta.PeerAddress]
		s.deliver(func() {
			to.count.announcements++
			for i, own := range to.feeds {
				if ann.Feed != []string{"configuration", "servers"}[i] {
					continue
				}
				if own.IsNew(ann) {
					s.forward(to, own, ann)
				}
				if own.Receive(s.now, ann) != following.ResultIgnore {
					own.AdvanceTo(ann.Revision, false)
				}
			}
			s.tick(to)
		})
	}
}

func (s *quietSite) deliver(run func()) {
	s.after(200*time.Microsecond+time.Duration(s.rng.IntN(400))*time.Microsecond, run)
}

func (s *quietSite) size(msg any) int {
	kind, _ := s.registry.KindOf(msg)
	frame, err := peer.AppendFrame(nil, peer.Envelope{Role: peer.RoleSend, Kind: kind}, msg, peer.MaxFrame)
	if err != nil {
		panic(err)
	}
	return len(frame)
}

func (s *quietSite) report(b *testing.B, d, used time.Duration) {
	var sum quietCount
	most := 0
	for _, n := range s.daemons {
		c := n.count
		most = max(most, c.wakeUps())
		sum.timers += c.timers
		sum.memberships += c.memberships
		sum.announcements += c.announcements
		sum.views += c.views
		sum.membershipSent += c.membershipSent
		sum.announcementsSent += c.announcementsSent
		sum.membershipBytes += c.membershipBytes
		sum.announcementBytes += c.announcementBytes
	}
	per := float64(len(s.daemons)) * d.Seconds()
	for unit, n := range map[string]int{
		"views/s": sum.views, "timers/s": sum.timers, "membership-msg/s": sum.memberships, "announcements/s": sum.announcements, "wake-ups/s": sum.wakeUps(),
		"membership-sent/s": sum.membershipSent, "announcements-sent/s": sum.announcementsSent,
		"membership-B/s": sum.membershipBytes, "announcement-B/s": sum.announcementBytes,
	} {
		b.ReportMetric(float64(n)/per, unit)
	}
	b.ReportMetric(float64(most)/d.Seconds(), "wake-ups/s-most")
	b.ReportMetric(float64(used.Microseconds())/per, "cpu-us/s")
	b.ReportMetric(0, "ns/op")
}
