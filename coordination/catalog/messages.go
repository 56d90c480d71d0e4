package catalog

import (
	"github.com/hibiscuswick/hibiscuswick/coordination/controller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Table is the name of the table that holds the rows; a row's key is the
// service.
const Table = "replicas"

// Version orders the tables of one service.
type Version struct {
	Fencing state.FencingNumber `msgpack:"f"`
	Serial  uint64              `msgpack:"s"`
}

func versionOf(t controller.ReplicaTable) Version {
	return Version{Fencing: t.Fencing, Serial: t.Serial}
}

func (v Version) newer(o Version) bool {
	if v.Fencing != o.Fencing {
		return v.Fencing > o.Fencing
	}
	return v.Serial > o.Serial
}

// Message is what daemons tell each other about tables.
type Message interface{ message() }

// Held is one service's version at the sender.
type ServiceVersion struct {
	Service state.ServiceID `msgpack:"service"`
	Version Version         `msgpack:"version"`
}

// Have tells versions. All says that it lists every service, so that the receiver
// answers with what it has newer.
type Versions struct {
	Services []ServiceVersion `msgpack:"held"`
	All      bool             `msgpack:"all"`
}

// Want asks for what changed since Have.
type Pull struct {
	Service state.ServiceID `msgpack:"service"`
	Have    Version         `msgpack:"have"`
}

// Delta turns the table of version From into that of version To. The zero From
// is the empty table. Parts of one Delta are applied together.
type Delta struct {
	Service  state.ServiceID       `msgpack:"service"`
	From     Version               `msgpack:"from"`
	To       Version               `msgpack:"to"`
	Document state.DocumentVersion `msgpack:"document"`
	Set      []controller.Replica  `msgpack:"set"`
	Removed  []state.ReplicaID     `msgpack:"gone"`
	Part     int                   `msgpack:"part"`
	Parts    int                   `msgpack:"parts"`
}

func (Versions) message() {}
func (Pull) message()     {}
func (Delta) message()    {}

// Event is what the machine is stepped with.
type Event interface{ event() }

// Tick says that NextTick has come.
type Tick struct{}

// Members names the other live daemons.
type Members struct{ Live []state.DaemonID }

// Offered is a whole table from this daemon's own controller or from the store.
type OfferTable struct{ Table controller.ReplicaTable }

// Received is a message of another daemon.
type Received struct {
	From state.Member
	Msg  Message
}

func (Tick) event()       {}
func (Members) event()    {}
func (OfferTable) event() {}
func (Received) event()   {}

// Action is what the daemon is to do.
type Action interface{ action() }

// Send carries a message to one daemon.
type Send struct {
	To  state.DaemonID
	Msg Message
}

// Changed says that a table is in force here from now on.
type TableChanged struct{ Table controller.ReplicaTable }

func (Send) action()         {}
func (TableChanged) action() {}
