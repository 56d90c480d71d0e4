package membership

import (
	"time"
)

// maxHealth bounds health.score: timeouts grow at most fourfold.
const maxHealth = 3

// health is this daemon's doubt in itself: 0 is none. The idea is that of the
// Lifeguard extensions of SWIM: a daemon whose probes fail, though helpers do not
// confirm it, or that others suspect, gives its probes more time.
type health struct {
	score int
	// answered is when the last question that a peer answered was sent: the last
	// time for which contact in both directions is proved. The time of the answer
	// would not do: it may have waited in a socket while this daemon was paused.
	answered time.Time
}

func (h *health) proved(sent time.Time) {
	h.answered = later(h.answered, sent)
}

func (h *health) worse() {
	h.score = min(maxHealth, h.score+1)
}

func (h *health) better() {
	h.score = max(0, h.score-1)
}

// stretch lengthens d by the doubt.
func (h *health) stretch(d time.Duration) time.Duration {
	return d * time.Duration(1+h.score)
}

// checkLate notices that this daemon did not run for a while.
//
// Guard (paused daemon): after a pause every probe is past its deadline and every
// suspicion has run out, so a daemon that went on would hold the whole fleet for
// dead at once. The sign is a timer that runs later than it was due by more than
// any busy control goroutine is late. What was waited for is then dropped and
// suspicions get their full time again, so that nothing is concluded from silence
// during which this daemon did not listen.
func (m *Membership) checkLate() {
	if m.wake.IsZero() {
		return
	}
	late := m.now.Sub(m.wake)
	if late < m.cfg.PauseThreshold {
		return
	}
	m.act(PauseDetected{Delay: late})
	m.probes.drop()
	m.probes.next = m.now
	for _, e := range m.table.sorted {
		if e.state == Suspect {
			e.suspicion.start = m.now
		}
	}
	m.health.score = maxHealth
	m.nextExchange = m.now
	m.nextReconnect = m.now
	m.nextSweep = m.now
	m.gossip.next = m.now
}
