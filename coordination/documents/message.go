package documents

import (
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Message is what daemons tell each other about documents.
type Message interface {
	documentsMessage()
}

// Digest is a hash of the versions in force at a daemon: equal hashes, equal
// versions. It rides on heartbeats.
type Digest struct {
	Hash uint64 `msgpack:"hash"`
}

// ServiceVersion is a service's version at a daemon.
type ServiceVersion struct {
	Service state.ServiceID       `msgpack:"service"`
	Version state.DocumentVersion `msgpack:"version"`
}

// Announce tells of a version just adopted. Patch leads to it from the one
// before, where it is small.
type Announce struct {
	Service state.ServiceID       `msgpack:"service"`
	Version state.DocumentVersion `msgpack:"version"`
	EditID  string                `msgpack:"edit"`
	Patch   *Patch                `msgpack:"patch"`
}

// Versions lists what is in force at the sender, for comparison. A first one
// (not Reply) is answered with the receiver's. Ready reports that the sender
// itself knows that it is current.
type Versions struct {
	Have  []ServiceVersion `msgpack:"have"`
	Ready bool             `msgpack:"ready"`
	Reply bool             `msgpack:"reply"`
}

// Pull asks for the documents that are newer than Have.
type Pull struct {
	Have []ServiceVersion `msgpack:"have"`
}

// Docs carries documents whole.
type Docs struct {
	Docs []Doc `msgpack:"docs"`
}

// InForceAsk asks for the version of a service in force at the receiver.
type VersionRequest struct {
	Service state.ServiceID `msgpack:"service"`
}

// InForce answers InForceAsk; Version is 0 where there is none.
type VersionResponse struct {
	Service state.ServiceID       `msgpack:"service"`
	Version state.DocumentVersion `msgpack:"version"`
}

func (Digest) documentsMessage()          {}
func (Announce) documentsMessage()        {}
func (Versions) documentsMessage()        {}
func (Pull) documentsMessage()            {}
func (Docs) documentsMessage()            {}
func (VersionRequest) documentsMessage()  {}
func (VersionResponse) documentsMessage() {}
