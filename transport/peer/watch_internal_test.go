package peer

import (
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// link plays a connection in virtual time under a watch.
type link struct {
	t        *rapid.T
	cfg      Config
	watch    watch
	now      time.Time
	heard    time.Time
	look     time.Time   // when the watch wants to be called
	arrivals []time.Time // frames on their way back, by time
	owed     []time.Time // those of them that answer calls
	silent   bool
}

func newLink(t *rapid.T) *link {
	l := &link{t: t, cfg: Config{}.withDefaults(), now: time.Unix(0, 0)}
	l.watch = newWatch(&l.cfg, l.now)
	l.heard = l.now
	l.look = l.now
	return l
}

// reply puts a frame on its way back. Heartbeats are answered while calls are in
// work, so that it may overtake others.
func (l *link) reply(after time.Duration) time.Time {
	at := l.now.Add(after)
	if !l.silent {
		l.arrivals = append(l.arrivals, at)
		slices.SortFunc(l.arrivals, time.Time.Compare)
	}
	return at
}

// deliver reads the frames that are there.
func (l *link) deliver() {
	for len(l.arrivals) > 0 && !l.arrivals[0].After(l.now) {
		l.arrivals = l.arrivals[1:]
		l.heard = l.now
	}
	if !l.silent {
		l.owed = slices.DeleteFunc(l.owed, func(at time.Time) bool { return !at.After(l.now) })
	}
}

// wake calls the watch.
func (l *link) wake(rtt time.Duration) error {
	probe, wait, err := l.watch.look(l.now, l.heard, len(l.owed) > 0)
	if err != nil {
		return err
	}
	if wait <= 0 {
		l.t.Fatal("the watch spins")
	}
	if probe {
		l.reply(rtt)
	}
	l.look = l.now.Add(wait)
	return nil
}

// pause stops the process. After a long stop the watch is called before the
// frames that lie in the kernel are read; a short one is a delay of the
// scheduler, which lets the reader run as well.
func (l *link) pause(d, rtt time.Duration) error {
	l.now = l.now.Add(d)
	if d <= 2*l.watch.overdueStep() {
		l.deliver()
	}
	if l.now.Before(l.look) {
		return nil
	}
	return l.wake(rtt)
}

// run goes on to a time, with the frames read as they come.
func (l *link) run(until time.Time, rtt time.Duration) error {
	for {
		next := until
		if l.look.Before(next) {
			next = l.look
		}
		if len(l.arrivals) > 0 && l.arrivals[0].Before(next) {
			next = l.arrivals[0]
		}
		l.now = later(next, l.now)
		l.deliver()
		if !l.now.Before(l.look) {
			if err := l.wake(rtt); err != nil {
				return err
			}
		}
		if !l.now.Before(until) {
			return nil
		}
	}
}

// A daemon that was paused, as by a stopped virtual machine, wakes to answers
// that lie unread in the kernel. Were it to give its connections up for that,
// every call on them would be unanswered, and callers would see unknown
// outcomes from a network that works.
func TestWatchKeepsConnectionsThatAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLink(t)
		duration := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
		})
		maxRTT := int(l.cfg.ProgressTimeout.Milliseconds()) / 2
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			rtt := time.Duration(rapid.IntRange(0, maxRTT).Draw(t, "rtt")) * time.Millisecond
			if l.over(l.run(l.now.Add(duration.Draw(t, "run")), rtt)) {
				return
			}
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0: // a call that takes long
				l.watch.wrote(l.now, l.heard)
				l.owed = append(l.owed, l.reply(duration.Draw(t, "work")))
			case 1: // a message without an answer
				l.watch.wrote(l.now, l.heard)
			case 2:
				for range rapid.IntRange(1, 6).Draw(t, "pauses") {
					if l.over(l.pause(duration.Draw(t, "pause"), rtt)) {
						return
					}
				}
			}
			if l.over(l.wake(rtt)) {
				return
			}
		}
	})
}

// over fails on any end of an answering connection but that of an unused one.
func (l *link) over(err error) bool {
	if errors.Is(err, errIdle) && len(l.owed) == 0 {
		return true
	}
	if err != nil {
		l.t.Fatalf("an answering connection ended with %v", err)
	}
	return false
}

// A connection that was tracked by a middlebox is forgotten there: from one
// moment on nothing comes, and neither end is told. What is owed on it has to be
// given up within a bound, so that the caller can ask on a new connection.
func TestWatchGivesUpSilentConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLink(t)
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		rtt := ms("rtt", 300)
		if err := l.run(l.now.Add(ms("before", 30_000)), rtt); err != nil {
			t.Fatal(err)
		}
		l.silent = true
		l.arrivals = nil
		begin := l.now
		bound := l.cfg.IdleProbeAfter + l.cfg.ProgressTimeout
		if rapid.Bool().Draw(t, "busy") {
			bound = l.cfg.ProbeAfter + l.cfg.ProgressTimeout
			l.watch.wrote(l.now, l.heard)
			l.owed = append(l.owed, l.reply(rtt))
			if err := l.wake(rtt); err != nil {
				t.Fatal(err)
			}
		}
		err := l.run(begin.Add(bound+time.Millisecond), rtt)
		if !errors.Is(err, ErrUnresponsive) {
			t.Fatalf("after %v: %v", l.now.Sub(begin), err)
		}
	})
}

// Nothing is owed on an unused connection; it is closed without an error.
func TestWatchClosesUnusedConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLink(t)
		err := l.run(l.now.Add(l.cfg.IdleTimeout+l.cfg.IdleProbeAfter+l.cfg.ProgressTimeout), 10*time.Millisecond)
		if !errors.Is(err, errIdle) {
			t.Fatal(err)
		}
	})
}
