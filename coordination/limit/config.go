package limit

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Config holds the site's settings for limits. Zero durations and counts take
// the default.
type Config struct {
	// Self is this daemon.
	Self state.Member

	// Seats are the daemons that may own shards and whose share of the limits
	// is lent; the same list on all daemons, at most 64.
	Seats []state.DaemonID

	// Total is the number of shares in each limit, at least len(Seats), which
	// is the default. It is larger only while the list grows.
	Total int

	// Shards divides the keys among owners; at most 64, the same on all
	// daemons. Default 16.
	Shards int

	// LoanLife is how long an owner counts a seat after it asked. Default 2 s.
	LoanTTL time.Duration

	// BatchLife is how long a holder may spend a batch after it asked; at
	// most half of LoanLife. Default 800 ms.
	BatchTTL time.Duration

	// Interval is the time between regular reports. Default 200 ms.
	ReportInterval time.Duration

	// MinGap is the least time between two reports to one owner. Default 5 ms.
	MinReportInterval time.Duration

	// SilentFor is how long an owner may leave a report unanswered before
	// another is chosen. Default 500 ms.
	OwnerTimeout time.Duration

	// MaxWait is how long a request waits for an owner that does not answer.
	// Default 400 ms.
	MaxWait time.Duration

	// MaxPending bounds the requests that wait for tokens of one key; MaxKeys
	// the keys in use. Defaults 1024 and 16384.
	MaxPending int
	MaxKeys    int

	// Drift bounds how far any clock's rate is from true. Default 0.01.
	MaxClockDrift float64
}

const (
	maxShards = 64
	maxSeats  = 64
)

func (c Config) withDefaults() Config {
	setDefault(&c.Total, len(c.Seats))
	setDefault(&c.Shards, 16)
	setDefault(&c.LoanTTL, 2*time.Second)
	setDefault(&c.BatchTTL, 800*time.Millisecond)
	setDefault(&c.ReportInterval, 200*time.Millisecond)
	setDefault(&c.MinReportInterval, 5*time.Millisecond)
	setDefault(&c.OwnerTimeout, 500*time.Millisecond)
	setDefault(&c.MaxWait, 400*time.Millisecond)
	setDefault(&c.MaxPending, 1024)
	setDefault(&c.MaxKeys, 16384)
	setDefault(&c.MaxClockDrift, 0.01)
	return c
}

// outlast lengthens a life so that it ends, on any clock within the drift,
// after a life of d that began no later on any other such clock.
func (c Config) outlast(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+c.MaxClockDrift)/(1-c.MaxClockDrift)) + time.Nanosecond
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
