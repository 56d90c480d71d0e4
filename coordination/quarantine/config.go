package quarantine

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Config holds the bounds of a Quarantine. Zero fields take the default.
type Config struct {
	// Self is this daemon.
	Self state.Member

	// FactLife is how long an implication holds. Default 10 min.
	FactLife time.Duration

	// ConvictedFor is how long a convicted content is refused; UnprovedFor
	// that of one whose turn ended with nothing known. Defaults 24 h, 10 min.
	ConvictedFor time.Duration
	UnprovedFor  time.Duration

	// TurnLife is after how long a turn that nobody ended counts as ended
	// with nothing known; a run alone must begin and end within half of it.
	// Default 10 min.
	TurnLife time.Duration

	// PollEvery is the time between two looks at a turn that another holds,
	// or at a store that does not answer. Default 500 ms.
	PollEvery time.Duration

	// ScanEvery is the time between two scans for convictions. Default 60 s.
	ScanEvery time.Duration

	// SyncEvery is the time between two comparisons of facts with some other
	// daemon. Default 5 s.
	SyncEvery time.Duration

	// SpreadWait bounds the wait for other daemons' word that they know of a
	// death. Default 1 s.
	SpreadWait time.Duration

	// BurstReplicas other deaths in one failure domain within BurstWindow are
	// taken for a failure of the domain. Defaults 4 and 3 s.
	BurstReplicas int
	BurstWindow   time.Duration

	// Direct is to how many daemons facts are told at first; Forward to how
	// many each tells on those that are new to it, when there are more
	// daemons than Direct. Defaults 16 and 6.
	Direct  int
	Forward int

	// MaxSuspects, MaxDeaths, MaxConvicted and MaxWaiting bound the memory:
	// contents, deaths and convictions remembered, and requests that wait for
	// one turn. The oldest are forgotten first. Defaults 4096, 1024, 1024, 64.
	MaxSuspects  int
	MaxDeaths    int
	MaxConvicted int
	MaxWaiting   int
}

func (c Config) withDefaults() Config {
	setDefault(&c.FactLife, 10*time.Minute)
	setDefault(&c.ConvictedFor, 24*time.Hour)
	setDefault(&c.UnprovedFor, 10*time.Minute)
	setDefault(&c.TurnLife, 10*time.Minute)
	setDefault(&c.PollEvery, 500*time.Millisecond)
	setDefault(&c.ScanEvery, time.Minute)
	setDefault(&c.SyncEvery, 5*time.Second)
	setDefault(&c.SpreadWait, time.Second)
	setDefault(&c.BurstReplicas, 4)
	setDefault(&c.BurstWindow, 3*time.Second)
	setDefault(&c.Direct, 16)
	setDefault(&c.Forward, 6)
	setDefault(&c.MaxSuspects, 4096)
	setDefault(&c.MaxDeaths, 1024)
	setDefault(&c.MaxConvicted, 1024)
	setDefault(&c.MaxWaiting, 64)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
