package probing

import (
	"math"
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/rendezvous"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Lead is how long before a probe is due other daemons are asked, half of it the witnesses and half the
// server's owner: a few round trips within a region and the answer of a live server.
const Lead = 16 * time.Millisecond

// maxWitnesses is how many daemons are asked for what they know before an owner is asked.
const maxWitnesses = 3

// ResultTTL is how long a daemon uses the result of its own probe, which may be one that it sent for
// others: with a longer time servers that die just after one would be found later.
const ResultTTL = 200 * time.Millisecond

// Query asks for a sign of life of a server that is not older than MaxAgeMS.
type Query struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Address  string
	Born     int64 // of the incarnation that is meant
	MaxAgeMS int32
}

// Request asks a daemon for signs of life of servers of a service.
type Request struct {
	// OnlyKnown is set if the servers are not to be probed.
	OnlyKnown bool `msgpack:"known,omitempty"`

	Service state.ServiceID `msgpack:"service"`
	Queries []Query         `msgpack:"queries"`
}

// Response answers a Request: one sign for each query.
type Response struct {
	Signs []Sign `msgpack:"signs"`
}

// Sign is a sign of life of a server. The zero value is none.
type Sign struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Alive bool
	AgeMS int32
}

// ShownAt returns when the server was shown to be alive, for a question that was asked at a time; false if
// it was not. How long that makes a probe needless depends on the stream.
func (s Sign) ShownAt(askedAt time.Time) (time.Time, bool) {
	if !s.Alive || s.AgeMS < 0 {
		return time.Time{}, false
	}
	return askedAt.Add(-time.Duration(s.AgeMS) * time.Millisecond), true
}

// ownersKey is the key by which the owners are chosen among the daemons.
const ownersKey = "probing"

// Owners returns the daemons that own servers: as many as the square root of all, so that neither the
// connections to them nor their load grow with the number of daemons.
func Owners(daemons []state.DaemonID) []state.DaemonID {
	n := int(math.Ceil(math.Sqrt(float64(len(daemons)))))
	return rendezvous.Rank(ownersKey, daemons, n)
}

// Owner returns the owner of the server at an address, or false if there are no owners.
func Owner(address string, owners []state.DaemonID) (state.DaemonID, bool) {
	return rendezvous.Owner(address, owners)
}

// Witnesses returns the owners that are asked for signs of life of any server: those of the daemon's own
// failure domain first, whose streams are likely to cross the same servers.
func Witnesses(owners []state.DaemonID, self state.DaemonID, near func(state.DaemonID) bool) []state.DaemonID {
	var first, others []state.DaemonID
	for _, id := range rendezvous.Rank(string(self), owners, len(owners)) {
		switch {
		case id == self:
		case near(id):
			first = append(first, id)
		default:
			others = append(others, id)
		}
	}
	all := slices.Concat(first, others)
	return all[:min(len(all), maxWitnesses)]
}

// maxBackoff is how many times the shortest interval may grow between two probes of a dead server.
const maxBackoff = 4

// RecoveryInterval returns how long to wait before a dead server is probed again, after a number of
// probes that it did not answer. A server whose process has ended returns as another one, which its
// entry in the list shows, so that it is probed rarely from the start.
func RecoveryInterval(shortest time.Duration, unanswered int, ended bool) time.Duration {
	if ended || unanswered >= maxBackoff {
		return maxBackoff * shortest
	}
	return min(shortest<<unanswered, maxBackoff*shortest)
}
