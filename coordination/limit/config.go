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

	// Seats are the daemons that may own shards and lend their share of the
	// limits; the same list on all daemons, at most 64.
	Seats []state.DaemonID

	// Total is the number of shares in each limit, at least len(Seats), which is
	// the default. It is larger only while the list is being extended.
	Total int

	// Shards divides the keys among owners; at most 64, the same on all
	// daemons. Default 16.
	Shards int

	// LoanTTL is how long an owner counts a seat after it sent the Grant that the
	// lending Report echoes. Default 2 s.
	LoanTTL time.Duration

	// BatchTTL is how long a holder may spend a batch after it sent its Report; at
	// most half of LoanTTL. Default 800 ms.
	BatchTTL time.Duration

	// ReportInterval is the time between regular reports. Default 200 ms.
	ReportInterval time.Duration

	// MinReportInterval is the least time between two reports to one owner.
	// Default 5 ms.
	MinReportInterval time.Duration

	// OwnerTimeout is how long an owner may leave a report unanswered before
	// another owner is chosen. Default 500 ms.
	OwnerTimeout time.Duration

	// MaxWait is how long a request waits for an owner that does not answer.
	// Default 400 ms.
	MaxWait time.Duration

	// MaxPending bounds the requests that wait for tokens of one key, MaxKeys the
	// keys in use. Defaults 1024 and 16384.
	MaxPending int
	MaxKeys    int

	// MaxClockDrift bounds the relative error of any clock's rate. Default 0.01.
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

// addClockDrift lengthens d so that the result, measured by any clock within
// MaxClockDrift, ends after a period of d that started no later and is measured by
// any other such clock.
func (c Config) addClockDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+c.MaxClockDrift)/(1-c.MaxClockDrift)) + time.Nanosecond
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
