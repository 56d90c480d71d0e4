package suspect

import "time"

// usualMemory is how long the longest of some waits is remembered. It bounds the
// probes and repeats of a site that is slow as a whole: its waits are long, time
// and again.
const usualMemory = 2 * time.Second

// Usual is about the longest that something took of late.
type RecentMax struct {
	longest time.Duration
	at      time.Time
}

// Add notes how long it took once.
func (u *RecentMax) Add(now time.Time, d time.Duration) {
	if d >= u.Value(now) {
		u.longest, u.at = d, now
	}
}

// Longest is about the longest of late; it fades over usualMemory.
func (u *RecentMax) Value(now time.Time) time.Duration {
	age := now.Sub(u.at)
	if age >= usualMemory {
		return 0
	}
	return u.longest - time.Duration(float64(u.longest)*float64(age)/float64(usualMemory))
}
