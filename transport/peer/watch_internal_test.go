package peer

import (
	"errors"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulatedConn simulates a connection under a livenessMonitor in virtual time.
type simulatedConn struct {
	t              *rapid.T
	cfg            Config
	monitor        livenessMonitor
	now            time.Time
	lastReceived   time.Time
	nextCheck      time.Time   // when check is to be called again
	arrivals       []time.Time // when frames of the peer arrive, sorted
	pendingAnswers []time.Time // those of arrivals that answer calls
	unresponsive   bool
}

func newSimulatedConn(t *rapid.T) *simulatedConn {
	c := &simulatedConn{t: t, cfg: Config{}.withDefaults(), now: time.Unix(0, 0)}
	c.monitor = newLivenessMonitor(&c.cfg, c.now)
	c.lastReceived = c.now
	c.nextCheck = c.now
	return c
}

// reply schedules the arrival of a frame of the peer and returns its time. Heartbeats
// are answered while calls are in progress, so a frame may arrive before earlier ones.
func (c *simulatedConn) reply(after time.Duration) time.Time {
	at := c.now.Add(after)
	if !c.unresponsive {
		c.arrivals = append(c.arrivals, at)
		slices.SortFunc(c.arrivals, time.Time.Compare)
	}
	return at
}

// deliver reads the frames that have arrived.
func (c *simulatedConn) deliver() {
	for len(c.arrivals) > 0 && !c.arrivals[0].After(c.now) {
		c.arrivals = c.arrivals[1:]
		c.lastReceived = c.now
	}
	if !c.unresponsive {
		c.pendingAnswers = slices.DeleteFunc(c.pendingAnswers, func(at time.Time) bool { return !at.After(c.now) })
	}
}

// runCheck calls the monitor's check.
func (c *simulatedConn) runCheck(rtt time.Duration) error {
	probe, wait, err := c.monitor.check(c.now, c.lastReceived, len(c.pendingAnswers) > 0)
	if err != nil {
		return err
	}
	if wait <= 0 {
		c.t.Fatal("check is to be called again without a delay")
	}
	if probe {
		c.reply(rtt)
	}
	c.nextCheck = c.now.Add(wait)
	return nil
}

// pause suspends the process. After a long pause check runs before the frames in the
// kernel's buffer are read; a short one is a scheduling delay, after which the reader
// runs first.
func (c *simulatedConn) pause(d, rtt time.Duration) error {
	c.now = c.now.Add(d)
	if d <= 2*c.monitor.overdueInterval() {
		c.deliver()
	}
	if c.now.Before(c.nextCheck) {
		return nil
	}
	return c.runCheck(rtt)
}

// advance runs the simulation until a time and reads frames as they arrive.
func (c *simulatedConn) advance(until time.Time, rtt time.Duration) error {
	for {
		next := until
		if c.nextCheck.Before(next) {
			next = c.nextCheck
		}
		if len(c.arrivals) > 0 && c.arrivals[0].Before(next) {
			next = c.arrivals[0]
		}
		c.now = later(next, c.now)
		c.deliver()
		if !c.now.Before(c.nextCheck) {
			if err := c.runCheck(rtt); err != nil {
				return err
			}
		}
		if !c.now.Before(until) {
			return nil
		}
	}
}

// A daemon resumes after a pause, for example of its virtual machine, with answers
// unread in the kernel. If it closed its connections for that, every call on them would
// be unanswered, and callers would see unknown outcomes although the network works.
func TestLivenessMonitorKeepsAnsweringConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newSimulatedConn(t)
		duration := rapid.Custom(func(t *rapid.T) time.Duration {
			return time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond
		})
		maxRTT := int(c.cfg.ProgressTimeout.Milliseconds()) / 2
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			rtt := time.Duration(rapid.IntRange(0, maxRTT).Draw(t, "rtt")) * time.Millisecond
			if c.ended(c.advance(c.now.Add(duration.Draw(t, "run")), rtt)) {
				return
			}
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0: // a call that takes long
				c.monitor.recordWrite(c.now, c.lastReceived)
				c.pendingAnswers = append(c.pendingAnswers, c.reply(duration.Draw(t, "work")))
			case 1: // a message without an answer
				c.monitor.recordWrite(c.now, c.lastReceived)
			case 2:
				for range rapid.IntRange(1, 6).Draw(t, "pauses") {
					if c.ended(c.pause(duration.Draw(t, "pause"), rtt)) {
						return
					}
				}
			}
			if c.ended(c.runCheck(rtt)) {
				return
			}
		}
	})
}

// ended reports whether the connection ended because it was unused, and fails the test
// for any other error.
func (c *simulatedConn) ended(err error) bool {
	if errors.Is(err, errUnused) && len(c.pendingAnswers) == 0 {
		return true
	}
	if err != nil {
		c.t.Fatalf("an answering connection ended with %v", err)
	}
	return false
}

// A middlebox drops the state of a connection: from then on nothing arrives, and neither
// end is notified. The connection must be closed within a bounded time, so that its calls
// end and can be repeated on a new one.
func TestLivenessMonitorDetectsUnresponsiveConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newSimulatedConn(t)
		ms := func(name string, most int) time.Duration {
			return time.Duration(rapid.IntRange(0, most).Draw(t, name)) * time.Millisecond
		}
		rtt := ms("rtt", 300)
		if err := c.advance(c.now.Add(ms("before", 30_000)), rtt); err != nil {
			t.Fatal(err)
		}
		c.unresponsive = true
		c.arrivals = nil
		start := c.now
		bound := c.cfg.IdleProbeAfter + c.cfg.ProgressTimeout
		if rapid.Bool().Draw(t, "busy") {
			bound = c.cfg.ProbeAfter + c.cfg.ProgressTimeout
			c.monitor.recordWrite(c.now, c.lastReceived)
			c.pendingAnswers = append(c.pendingAnswers, c.reply(rtt))
			if err := c.runCheck(rtt); err != nil {
				t.Fatal(err)
			}
		}
		err := c.advance(start.Add(bound+time.Millisecond), rtt)
		if !errors.Is(err, ErrUnresponsive) {
			t.Fatalf("after %v: %v", c.now.Sub(start), err)
		}
	})
}

// A connection without outstanding calls is closed as unused after IdleTimeout, not as
// unresponsive.
func TestLivenessMonitorClosesUnusedConnections(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newSimulatedConn(t)
		err := c.advance(c.now.Add(c.cfg.IdleTimeout+c.cfg.IdleProbeAfter+c.cfg.ProgressTimeout), 10*time.Millisecond)
		if !errors.Is(err, errUnused) {
			t.Fatal(err)
		}
	})
}
