package overload

import (
	"math"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/pathing"
)

const (
	// correctionMemory is the time constant with which the error of predictions is averaged, and
	// forgotten without measurements.
	correctionMemory = 700 * time.Millisecond
	// maxCorrection bounds the error that one measurement may show.
	maxCorrection = 10.0
	// longestPause is the ratio of a stream's longest pause to its usual one.
	longestPause = 2.0
	// lifeGain is the weight of a new sample in the average duration of streams.
	lifeGain = 0.05
	// usualLife is the duration of streams before any was seen.
	usualLife = 3 * time.Second
)

// Model corrects predictions by what was measured: by how much pauses differ from the predicted
// ones, by accelerator kind.
type Model struct {
	kinds map[string]correction
	life  time.Duration
}

// correction is the decaying average of measured over predicted pauses.
type correction struct {
	factor float64
	at     time.Time
}

// NewModel returns a model without measurements.
func NewModel() *Model {
	return &Model{kinds: make(map[string]correction), life: usualLife}
}

// Observe learns from a pause between two events of a stream along a predicted path.
func (m *Model) Observe(now time.Time, p pathing.Prediction, pause time.Duration) {
	predicted := p.PauseMS()
	if predicted <= 0 {
		return
	}
	ratio := min(float64(pause)/float64(time.Millisecond)/predicted, maxCorrection)
	for _, h := range p.Hops {
		c := m.kinds[h.Kind]
		have := c.current(now)
		// A kind with a large part of the path says more about it.
		weight := h.PauseMS / predicted * (1 - math.Exp(-float64(sampleTime)/float64(correctionMemory)))
		m.kinds[h.Kind] = correction{factor: have + weight*(ratio-have), at: later(now, c.at)}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// sampleTime is the time that one measurement stands for.
const sampleTime = 20 * time.Millisecond

// current returns the factor at now. Without measurements it returns to 1.
func (c correction) current(now time.Time) float64 {
	if c.at.IsZero() {
		return 1
	}
	return 1 + (c.factor-1)*math.Exp(-float64(max(now.Sub(c.at), 0))/float64(correctionMemory))
}

// Outlook returns the corrected prediction.
func (m *Model) Outlook(now time.Time, p pathing.Prediction) Outlook {
	pause := 0.0
	for _, h := range p.Hops {
		pause += h.PauseMS * m.kinds[h.Kind].current(now)
	}
	first := p.FirstMS
	if usual := p.PauseMS(); usual > 0 {
		first *= pause / usual
	}
	return Outlook{
		Times: Times{First: milliseconds(first), Pause: milliseconds(longestPause * pause), KVShare: p.KVShare},
		Idle:  Times{First: milliseconds(p.IdleFirstMS), Pause: milliseconds(longestPause * p.IdlePauseMS), KVShare: p.IdleKVShare},
	}
}

// StreamEnded learns the duration of a complete stream.
func (m *Model) StreamEnded(d time.Duration) {
	m.life += time.Duration(lifeGain * float64(d-m.life))
}

// Life returns the usual duration of a stream.
func (m *Model) Life() time.Duration { return m.life }

func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
