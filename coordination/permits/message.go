package permits

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
	"github.com/hibiscuswick/hibiscuswick/state/fleet"
)

// Message is a message between daemons about permits.
type Message interface {
	permitsMessage()
}

// PermitRequest asks the owner of a server's permits for some, or only reports its sender's known
// limit.
type PermitRequest struct {
	Server state.BackendIncarnation `msgpack:"server"`
	Count  int                      `msgpack:"want"` // number of permits; 0 for none
	// AcceptLater reports whether permits that cannot be issued at once are of use later because
	// requests wait for them. Otherwise the requests have gone elsewhere by then, and the permits
	// would expire unused.
	AcceptLater bool        `msgpack:"later"`
	Known       LimitReport `msgpack:"known"`
}

// PermitGrant answers a PermitRequest. It is repeated while the requested permits are issued one by
// one.
type PermitGrant struct {
	Server  state.BackendIncarnation `msgpack:"server"`
	Permits int                      `msgpack:"permits"`
	Known   LimitReport              `msgpack:"known"`
	// NextIn is the expected time until the next permit for this daemon, Interval the expected time
	// between further ones, based on the daemons that ask.
	NextIn   time.Duration `msgpack:"first"`
	Interval time.Duration `msgpack:"each"`
	// RetryAfter is the time after which the daemon may ask again.
	RetryAfter time.Duration `msgpack:"again"`
}

// LimitReport is a server's limit as known to a daemon.
type LimitReport struct {
	Limit fleet.RateLimit `msgpack:"limit"`
	Age   time.Duration   `msgpack:"age"` // since a server's answer declared it
}

// LimitNotice is a limit that is announced to all daemons.
type LimitNotice struct {
	Server state.BackendIncarnation `msgpack:"server"`
	Limit  fleet.RateLimit          `msgpack:"limit"`
}

func (PermitRequest) permitsMessage() {}
func (PermitGrant) permitsMessage()   {}
