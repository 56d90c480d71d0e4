package suspect

import "time"

// recentMaxMemory is how long the maximum of some durations is remembered. It limits the probes and
// retries in a site that is slow as a whole, where long waits are frequent.
const recentMaxMemory = 2 * time.Second

// RecentMax estimates the recent maximum of a duration.
type RecentMax struct {
	longest time.Duration
	at      time.Time
}

// Add records one duration.
func (u *RecentMax) Add(now time.Time, d time.Duration) {
	if d >= u.Value(now) {
		u.longest, u.at = d, now
	}
}

// Value returns the recent maximum, which decays linearly over recentMaxMemory.
func (u *RecentMax) Value(now time.Time) time.Duration {
	age := now.Sub(u.at)
	if age >= recentMaxMemory {
		return 0
	}
	return u.longest - time.Duration(float64(u.longest)*float64(age)/float64(recentMaxMemory))
}
