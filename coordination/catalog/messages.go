package catalog

import (
	"github.com/hibiscuswick/hibiscuswick/coordination/controller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Table is the name of the table that holds the rows; the row key is the service ID.
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

// Message is a message between daemons about tables.
type Message interface{ message() }

// ServiceVersion is the version of one service's table at the sender.
type ServiceVersion struct {
	Service state.ServiceID `msgpack:"service"`
	Version Version         `msgpack:"version"`
}

// Versions lists versions of tables. All means that every service is listed, so that the
// receiver announces those for which it has a newer version.
type Versions struct {
	Services []ServiceVersion `msgpack:"held"`
	All      bool             `msgpack:"all"`
}

// Pull requests the changes since version Have.
type Pull struct {
	Service state.ServiceID `msgpack:"service"`
	Have    Version         `msgpack:"have"`
}

// Delta turns the table of version From into that of version To. The zero From is the empty
// table. All parts of one Delta are applied together.
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

// Event is an input to Step.
type Event interface{ event() }

// Tick is needed at NextTick.
type Tick struct{}

// Members lists the other live daemons.
type Members struct{ Live []state.DaemonID }

// OfferTable supplies a complete table from the local controller or the store. It is installed
// if it is newer than the active one.
type OfferTable struct{ Table controller.ReplicaTable }

// Received is a message from another daemon.
type Received struct {
	From state.Member
	Msg  Message
}

func (Tick) event()       {}
func (Members) event()    {}
func (OfferTable) event() {}
func (Received) event()   {}

// Action is an output of Step for the daemon to perform.
type Action interface{ action() }

// Send sends a message to one daemon.
type Send struct {
	To  state.DaemonID
	Msg Message
}

// TableChanged reports the new active table of a service.
type TableChanged struct{ Table controller.ReplicaTable }

func (Send) action()         {}
func (TableChanged) action() {}
