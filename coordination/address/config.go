package address

import "time"

// Defaults of Config.
const (
	DefaultTTL                   = 15 * time.Second
	DefaultMinTTL                = time.Second
	DefaultDrainPropagationBound = 10 * time.Second
	DefaultMaxAddresses          = 5
	DefaultBusy                  = 0.7
	DefaultOverload              = 0.9
)

// Config tunes the answers. A zero field takes its default.
type Config struct {
	// Valid is how long an answer holds; default 15 s. A planned stop takes at
	// least Notice + Valid.
	TTL time.Duration `json:"valid"`

	// MinValid is the least validity given out, by a daemon whose view is old;
	// default 1 s.
	MinTTL time.Duration `json:"min_valid"`

	// Notice bounds the time until every daemon in touch with its peers has
	// learned that one of them drains, or holds it for dead; default 10 s.
	// docs/design/membership.md has the measured times.
	DrainPropagationBound time.Duration `json:"notice"`

	// Count is the most addresses in an answer; default 5.
	MaxAddresses int `json:"count"`

	// Busy and Overload are loads in [0, 1]. A daemon of the caller's failure
	// domain is preferred by all of its callers up to Busy, by none from
	// Overload on, and by a share falling in a line between; defaults 0.7, 0.9.
	Busy     float64 `json:"busy"`
	Overload float64 `json:"overload"`
}

// withDefaults gives c with each zero field at its default.
func (c Config) withDefaults() Config {
	if c.TTL == 0 {
		c.TTL = DefaultTTL
	}
	if c.MinTTL == 0 {
		c.MinTTL = DefaultMinTTL
	}
	if c.DrainPropagationBound == 0 {
		c.DrainPropagationBound = DefaultDrainPropagationBound
	}
	if c.MaxAddresses == 0 {
		c.MaxAddresses = DefaultMaxAddresses
	}
	if c.Busy == 0 {
		c.Busy = DefaultBusy
	}
	if c.Overload == 0 {
		c.Overload = DefaultOverload
	}
	return c
}
