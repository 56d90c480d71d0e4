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
	FactTTL time.Duration

	// ConvictedFor is how long a convicted content is refused; UnprovedFor
	// that of one whose turn ended with nothing known. Defaults 24 h, 10 min.
	QuarantineTTL  time.Duration
	UnconfirmedTTL time.Duration

	// TurnLife is after how long a turn that nobody ended counts as ended
	// with nothing known; a run alone must begin and end within half of it.
	// Default 10 min.
	LockTTL time.Duration

	// PollEvery is the time between two looks at a turn that another holds,
	// or at a store that does not answer. Default 500 ms.
	PollInterval time.Duration

	// ScanEvery is the time between two scans for convictions. Default 60 s.
	ScanInterval time.Duration

	// SyncEvery is the time between two comparisons of facts with some other
	// daemon. Default 5 s.
	SyncInterval time.Duration

	// SpreadWait bounds the wait for other daemons' word that they know of a
	// death. Default 1 s.
	PropagationTimeout time.Duration

	// BurstReplicas other deaths in one failure domain within BurstWindow are
	// taken for a failure of the domain. Defaults 4 and 3 s.
	BurstReplicas int
	BurstWindow   time.Duration

	// Direct is to how many daemons facts are told at first; Forward to how
	// many each tells on those that are new to it, when there are more
	// daemons than Direct. Defaults 16 and 6.
	DirectFanout  int
	ForwardFanout int

	// MaxSuspects, MaxDeaths, MaxConvicted and MaxWaiting bound the memory:
	// contents, deaths and convictions remembered, and requests that wait for
	// one turn. The oldest are forgotten first. Defaults 4096, 1024, 1024, 64.
	MaxSuspects    int
	MaxDeaths      int
	MaxQuarantined int
	MaxWaiting     int
}

func (c Config) withDefaults() Config {
	setDefault(&c.FactTTL, 10*time.Minute)
	setDefault(&c.QuarantineTTL, 24*time.Hour)
	setDefault(&c.UnconfirmedTTL, 10*time.Minute)
	setDefault(&c.LockTTL, 10*time.Minute)
	setDefault(&c.PollInterval, 500*time.Millisecond)
	setDefault(&c.ScanInterval, time.Minute)
	setDefault(&c.SyncInterval, 5*time.Second)
	setDefault(&c.PropagationTimeout, time.Second)
	setDefault(&c.BurstReplicas, 4)
	setDefault(&c.BurstWindow, 3*time.Second)
	setDefault(&c.DirectFanout, 16)
	setDefault(&c.ForwardFanout, 6)
	setDefault(&c.MaxSuspects, 4096)
	setDefault(&c.MaxDeaths, 1024)
	setDefault(&c.MaxQuarantined, 1024)
	setDefault(&c.MaxWaiting, 64)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
