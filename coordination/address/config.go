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

// Config holds the parameters of answers. Zero fields take their defaults.
type Config struct {
	// TTL is how long an answer is valid; default 15 s. A planned stop takes at least
	// DrainPropagationBound + TTL.
	TTL time.Duration `json:"valid"`

	// MinTTL is the shortest TTL, given by a daemon whose view is old; default 1 s.
	MinTTL time.Duration `json:"min_valid"`

	// DrainPropagationBound is the longest time until every daemon in contact with its
	// peers has learned that one of them drains, or considers it dead; default 10 s.
	// The measured times are in docs/design/membership.md.
	DrainPropagationBound time.Duration `json:"notice"`

	// MaxAddresses is the maximum number of addresses in an answer; default 5.
	MaxAddresses int `json:"count"`

	// Busy and Overload are loads in [0, 1]. A daemon of the caller's failure domain is
	// preferred by all of its callers up to Busy, by none from Overload on, and in
	// between by a linearly decreasing share; defaults 0.7 and 0.9.
	Busy     float64 `json:"busy"`
	Overload float64 `json:"overload"`
}

// withDefaults returns c with zero fields set to their defaults.
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
