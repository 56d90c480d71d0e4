package address

import "time"

// Defaults of Config.
const (
	DefaultValid    = 15 * time.Second
	DefaultMinValid = time.Second
	DefaultNotice   = 10 * time.Second
	DefaultCount    = 5
	DefaultBusy     = 0.7
	DefaultOverload = 0.9
)

// Config tunes the answers. A zero field takes its default.
type Config struct {
	// Valid is how long an answer holds; default 15 s. A planned stop takes at
	// least Notice + Valid.
	Valid time.Duration `json:"valid"`

	// MinValid is the least validity given out, by a daemon whose view is old;
	// default 1 s.
	MinValid time.Duration `json:"min_valid"`

	// Notice bounds the time until every daemon in touch with its peers has
	// learned that one of them drains, or holds it for dead; default 10 s.
	// docs/design/membership.md has the measured times.
	Notice time.Duration `json:"notice"`

	// Count is the most addresses in an answer; default 5.
	Count int `json:"count"`

	// Busy and Overload are loads in [0, 1]. A daemon of the caller's failure
	// domain is preferred by all of its callers up to Busy, by none from
	// Overload on, and by a share falling in a line between; defaults 0.7, 0.9.
	Busy     float64 `json:"busy"`
	Overload float64 `json:"overload"`
}

// withDefaults gives c with each zero field at its default.
func (c Config) withDefaults() Config {
	if c.Valid == 0 {
		c.Valid = DefaultValid
	}
	if c.MinValid == 0 {
		c.MinValid = DefaultMinValid
	}
	if c.Notice == 0 {
		c.Notice = DefaultNotice
	}
	if c.Count == 0 {
		c.Count = DefaultCount
	}
	if c.Busy == 0 {
		c.Busy = DefaultBusy
	}
	if c.Overload == 0 {
		c.Overload = DefaultOverload
	}
	return c
}
