package permits

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Message is what daemons send each other about permits.
type Message interface {
	permitsMessage()
}

// Ask asks the owner of a server's permits for some, or just says what its sender knows.
type PermitRequest struct {
	Server state.Life `msgpack:"server"`
	Count  int        `msgpack:"want"` // permits; 0 for none
	// Later is whether permits that can't be given at once are of use later: requests wait for
	// them. Others have gone elsewhere by then, and the permits would lapse unused.
	AcceptLater bool        `msgpack:"later"`
	Known       LimitReport `msgpack:"known"`
}

// Issue answers an Ask, and comes again while what was asked for is issued bit by bit.
type PermitGrant struct {
	Server  state.Life  `msgpack:"server"`
	Permits int         `msgpack:"permits"`
	Known   LimitReport `msgpack:"known"`
	// First is when the next permit is likely to come to this daemon, Each how long each
	// further one takes, by the daemons that ask.
	NextIn   time.Duration `msgpack:"first"`
	Interval time.Duration `msgpack:"each"`
	// Again is after what time the daemon may ask again.
	RetryAfter time.Duration `msgpack:"again"`
}

// Known is a server's limit as a daemon knows it.
type LimitReport struct {
	Limit fleet.RateLimit `msgpack:"limit"`
	Age   time.Duration   `msgpack:"age"` // since a server's answer said so
}

// Told is a limit that all daemons are to know.
type LimitNotice struct {
	Server state.Life      `msgpack:"server"`
	Limit  fleet.RateLimit `msgpack:"limit"`
}

func (PermitRequest) permitsMessage() {}
func (PermitGrant) permitsMessage()   {}
