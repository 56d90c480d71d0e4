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
type Ask struct {
	Server state.Life `msgpack:"server"`
	Want   int        `msgpack:"want"` // permits; 0 for none
	// Later is whether permits that can't be given at once are of use later: requests wait for
	// them. Others have gone elsewhere by then, and the permits would lapse unused.
	Later bool  `msgpack:"later"`
	Known Known `msgpack:"known"`
}

// Issue answers an Ask, and comes again while what was asked for is issued bit by bit.
type Issue struct {
	Server  state.Life `msgpack:"server"`
	Permits int        `msgpack:"permits"`
	Known   Known      `msgpack:"known"`
	// First is when the next permit is likely to come to this daemon, Each how long each
	// further one takes, by the daemons that ask.
	First time.Duration `msgpack:"first"`
	Each  time.Duration `msgpack:"each"`
	// Again is after what time the daemon may ask again.
	Again time.Duration `msgpack:"again"`
}

// Known is a server's limit as a daemon knows it.
type Known struct {
	Limit fleet.RateLimit `msgpack:"limit"`
	Age   time.Duration   `msgpack:"age"` // since a server's answer said so
}

// Told is a limit that all daemons are to know.
type Told struct {
	Server state.Life      `msgpack:"server"`
	Limit  fleet.RateLimit `msgpack:"limit"`
}

func (Ask) permitsMessage()   {}
func (Issue) permitsMessage() {}
