package fleet

import "strconv"

// RateLimit is how many requests a second a backend server takes from all daemons together,
// counted as they are sent to it. The zero value is no limit.
type RateLimit struct {
	Named     bool    `msgpack:"named"`
	PerSecond float64 `msgpack:"per_second"` // finite, 0 or more
}

// String writes the limit as "2.6/s", or "none".
func (l RateLimit) String() string {
	if !l.Named {
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'g', -1, 64) + "/s"
}
