package membership

import (
	"time"
)

// maxHealthScore bounds health.score: timeouts grow at most fourfold.
const maxHealthScore = 3

// health is the local health score of the Lifeguard extensions to SWIM; 0 is healthy. A daemon
// whose probes fail without confirmation by indirect probes, or that others suspect, gives its
// probes more time.
type health struct {
	score int
	// lastAcked is the send time of the last request that a peer acknowledged: the last time at
	// which contact in both directions is proved. The time of the reply is not usable, because
	// the reply may have waited in a socket while this daemon was paused.
	lastAcked time.Time
}

func (h *health) recordAck(sent time.Time) {
	h.lastAcked = later(h.lastAcked, sent)
}

func (h *health) degrade() {
	h.score = min(maxHealthScore, h.score+1)
}

func (h *health) improve() {
	h.score = max(0, h.score-1)
}

// scale multiplies d by the health score plus one.
func (h *health) scale(d time.Duration) time.Duration {
	return d * time.Duration(1+h.score)
}

// detectPause detects that this daemon did not run for some time.
//
// Guard (daemon-paused): after a pause every probe is past its deadline and every suspicion has
// expired, so a daemon that simply continued would declare all others dead at once. A pause is
// detected by a timer that runs later than it was due by more than any busy control goroutine
// is ever late. Pending probes are then dropped and suspicions get their full time again, so that
// nothing is concluded from a time during which this daemon did not receive.
func (m *Membership) detectPause() {
	if m.wakeAt.IsZero() {
		return
	}
	delay := m.now.Sub(m.wakeAt)
	if delay < m.cfg.PauseThreshold {
		return
	}
	m.emit(PauseDetected{Delay: delay})
	m.probes.reset()
	m.probes.next = m.now
	for _, e := range m.table.sorted {
		if e.state == Suspect {
			e.suspicion.start = m.now
		}
	}
	m.health.score = maxHealthScore
	m.nextExchange = m.now
	m.nextReconnect = m.now
	m.nextSweep = m.now
	m.broadcasts.nextRound = m.now
}
