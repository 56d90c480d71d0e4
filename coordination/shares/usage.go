package shares

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Customer identifies a customer in messages between daemons, in four bytes.
type Customer uint32

// CustomerOf returns the identifier of a customer. Two of 480 customers have the same one, and
// share their standing, with a probability of 3 in 100,000.
func CustomerOf(id state.CustomerID) Customer {
	return Customer(xxhash.Sum64String(string(id)))
}

// Use is what a customer's requests need of a service, in tokens decayed over Window.
type Use struct {
	Admitted float64
	Rejected float64 // asked for and not admitted
}

// wanted returns what the customer asked for.
func (u Use) wanted() float64 { return u.Admitted + u.Rejected }

func (u Use) plus(o Use) Use { return Use{u.Admitted + o.Admitted, u.Rejected + o.Rejected} }

func (u Use) times(f float64) Use { return Use{u.Admitted * f, u.Rejected * f} }

// decay returns the fraction of a use that remains after some time.
func decay(age time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp(-age.Seconds() / Window.Seconds())
}

// counter is a customer's use at this daemon.
type counter struct {
	use Use
	at  time.Time
}

func (c *counter) add(now time.Time, u Use) {
	c.use = c.value(now).plus(u)
	if now.After(c.at) {
		c.at = now
	}
}

func (c *counter) value(now time.Time) Use { return c.use.times(decay(now.Sub(c.at))) }
