package probing_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/hibiscuswick/hibiscuswick/coordination/probing"
	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// The times of a stream that allows gaps of 250 ms, as the gateway sets them.
const (
	leastSilence = 50 * time.Millisecond
	mostSilence  = 125 * time.Millisecond
	recheck      = 31250 * time.Microsecond
	reuse        = 250 * time.Millisecond // of the result of a probe by a daemon that asks no other
)

const (
	watchers   = 16 // daemons with a stream through the server
	messageLag = 2 * time.Millisecond
)

// watcher is a daemon with a stream through the server.
type watcher struct {
	tracker   *suspect.Tracker
	stream    *suspect.Stream
	lastEvent time.Time
	probedAt  time.Time // when a probe of its own was answered last
	settled   time.Time
	foundAt   time.Time
	check     int // number of the current series of checks
}

// site is a server and the daemons that watch it. The first one owns the server.
type site struct {
	shared   bool
	now      time.Time
	events   agenda
	watchers []*watcher
	diedAt   time.Time
	probes   int // while the server lived
}

type appointment struct {
	at  time.Time
	seq int
	do  func()
}

type agenda []appointment

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return cmp.Or(a[i].at.Compare(a[j].at), cmp.Compare(a[i].seq, a[j].seq)) < 0
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(appointment)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

func (s *site) at(t time.Time, do func()) {
	heap.Push(&s.events, appointment{at: t, seq: s.events.Len(), do: do})
}

// run plays the site until each watcher has found the server dead.
func (s *site) run() {
	for s.events.Len() > 0 {
		next := heap.Pop(&s.events).(appointment)
		s.now = next.at
		next.do()
	}
}

func (s *site) dead() bool { return !s.diedAt.IsZero() && !s.now.Before(s.diedAt) }

// event delivers an event of a watcher's stream.
func (s *site) event(w *watcher) {
	w.tracker.RecordProgress(s.now, w.stream)
	w.lastEvent = s.now
	w.check++
	series := w.check
	lead := s.lead()
	s.at(s.now.Add(leastSilence-lead), func() { s.watch(w, series) })
}

func (s *site) lead() time.Duration {
	if s.shared {
		return probing.Lead
	}
	return 0
}

// probedLately reports whether the result of a watcher's own probe is still used.
func (s *site) probedLately(w *watcher) bool {
	if s.shared {
		return s.now.Sub(w.probedAt) < probing.ResultTTL
	}
	return s.now.Sub(w.probedAt) < reuse
}

// watch checks a silent stream, as the gateway does.
func (s *site) watch(w *watcher, series int) {
	if series != w.check || !w.foundAt.IsZero() {
		return
	}
	due := s.now.Add(s.lead())
	s.at(due.Add(recheck-s.lead()), func() { s.watch(w, series) })
	suspicions := w.tracker.Suspicions(due, w.stream, leastSilence, mostSilence)
	if s.shared && len(suspicions) > 0 {
		askedAt := s.now
		s.at(s.now.Add(messageLag/2), func() { s.askWitnesses(w, suspicions[0].Allowed, askedAt) })
		s.at(s.now.Add(s.lead()/2), func() {
			if w != s.watchers[0] && !s.now.Before(w.settled) && !s.probedLately(w) {
				askedAt := s.now
				s.at(s.now.Add(messageLag/2), func() { s.ask(w, suspicions[0].Allowed, askedAt) })
			}
		})
	}
	s.at(due, func() {
		if series != w.check || !w.foundAt.IsZero() || s.now.Before(w.settled) || s.probedLately(w) {
			return
		}
		if len(w.tracker.Suspicions(s.now, w.stream, leastSilence, mostSilence)) == 0 {
			return
		}
		if s.dead() {
			w.foundAt = s.now
			return
		}
		s.probes++
		w.probedAt = s.now
	})
}

// askWitnesses lets some daemons say what they know.
func (s *site) askWitnesses(w *watcher, allowed time.Duration, askedAt time.Time) {
	for _, witness := range s.watchers[1:4] {
		if age, known := witness.tracker.SinceAlive(s.now, "a"); known && age < allowed && witness != w {
			sign := probing.Sign{Alive: true, AgeMS: int32(age.Milliseconds())}
			w.settled = maxTime(w.settled, settlesUntil(sign, askedAt, allowed))
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// ask lets the owner answer a watcher.
func (s *site) ask(w *watcher, allowed time.Duration, askedAt time.Time) {
	owner := s.watchers[0]
	age, known := owner.tracker.SinceAlive(s.now, "a")
	sign := probing.Sign{Alive: true}
	switch probed := s.now.Sub(owner.probedAt); {
	case known && age < allowed:
		sign.AgeMS = int32(age.Milliseconds())
	case probed < allowed:
		sign.AgeMS = int32(probed.Milliseconds())
	case s.dead():
		sign = probing.Sign{}
	default:
		s.probes++
		owner.probedAt = s.now
	}
	s.at(s.now.Add(messageLag/2), func() { w.settled = maxTime(w.settled, settlesUntil(sign, askedAt, allowed)) })
}

// outcome is what a site's probes cost and find.
type outcome struct {
	probes        int           // of the live server, for each second
	mean, longest time.Duration // from the server's death until a daemon finds it
}

// play lets a server take steps until it dies, several times over. Of each step's events a watcher gets
// a share.
func play(shared bool, step func(*rand.Rand) time.Duration, share float64) outcome {
	const deaths, life = 30, 6 * time.Second
	var out outcome
	var sum time.Duration
	for seed := range uint64(deaths) {
		r := rand.New(rand.NewPCG(seed, 2))
		start := time.Unix(1000, 0)
		s := &site{shared: shared}
		for range watchers {
			t := suspect.NewTracker()
			s.watchers = append(s.watchers, &watcher{tracker: t, stream: t.TrackStream(start, fleet.Path{{Address: "a"}})})
		}
		now := start
		for now.Before(start.Add(life)) {
			for _, w := range s.watchers {
				if now.Equal(start) || r.Float64() < share {
					s.at(now, func() { s.event(w) })
				}
			}
			length := step(r)
			s.diedAt = now.Add(time.Duration(r.Float64() * float64(length)))
			now = now.Add(length)
		}
		s.run()
		out.probes += s.probes
		for _, w := range s.watchers {
			found := w.foundAt.Sub(s.diedAt)
			out.longest = max(out.longest, found)
			sum += found
		}
	}
	out.probes /= deaths * int(life/time.Second)
	out.mean = sum / (deaths * watchers)
	return out
}

var _ = Describe("A server that dies", func() {
	ms := func(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
	between := func(from, to float64) func(*rand.Rand) time.Duration {
		return func(r *rand.Rand) time.Duration { return ms(from + (to-from)*r.Float64()) }
	}
	rarely := func(usual, pause, share float64) func(*rand.Rand) time.Duration {
		return func(r *rand.Rand) time.Duration {
			if r.Float64() < share {
				return ms(pause)
			}
			return ms(usual)
		}
	}
	// Full engines pause, and the streams of all daemons pause with them. Guards against a probe of each
	// daemon in each pause, and against deaths that are found later because fewer probes are sent.
	DescribeTable("is found as fast with fewer probes while it lives", Label("failure:probes-in-overload"),
		func(step func(*rand.Rand) time.Duration, share float64) {
			alone, shared := play(false, step, share), play(true, step, share)
			AddReportEntry(fmt.Sprintf("alone %+v, shared %+v", alone, shared))
			Expect(shared.probes).To(BeNumerically("<=", alone.probes))
			Expect(shared.longest).To(BeNumerically("<=", alone.longest))
			// On average, no later than if each stream had shown the server's last sign of life.
			Expect(shared.mean).To(BeNumerically("<=", max(alone.mean, mostSilence+recheck/2)))
		},
		Entry("steps of 20 ms", between(20, 20), 1.0),
		Entry("steps of 20 ms, half of them of each stream", between(20, 20), 0.5),
		Entry("steps of 80 ms", between(80, 80), 1.0),
		Entry("steps of 150 ms", between(150, 150), 1.0),
		Entry("steps of 150 ms, half of them of each stream", between(150, 150), 0.5),
		Entry("steps of 400 ms", between(400, 400), 1.0),
		Entry("steps of 30 to 90 ms", between(30, 90), 1.0),
		Entry("steps of 30 to 90 ms, one in four of each stream", between(30, 90), 0.25),
		Entry("steps of 80 to 240 ms", between(80, 240), 1.0),
		Entry("steps of 80 to 240 ms, half of them of each stream", between(80, 240), 0.5),
		Entry("steps of 30 to 500 ms", between(30, 500), 1.0),
		Entry("steps of 20 ms, one in 50 of 200 ms", rarely(20, 200, .02), 1.0),
		Entry("steps of 40 ms, one in 10 of 150 ms, half of them of each stream", rarely(40, 150, .1), 0.5),
	)
})
