package fleet

import "strconv"

// RateLimit is the number of requests per second that a backend server accepts from all
// daemons together, counted when they are sent. The zero value means no limit.
type RateLimit struct {
	Named     bool    `msgpack:"named"`
	PerSecond float64 `msgpack:"per_second"` // finite, 0 or more
}

// String returns the limit as "2.6/s", or "none".
func (l RateLimit) String() string {
	if !l.Named {
		return "none"
	}
	return strconv.FormatFloat(l.PerSecond, 'g', -1, 64) + "/s"
}
