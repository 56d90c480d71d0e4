package documents

import (
	"github.com/hibiscuswick/hibiscuswick/state"
)

// Message is a message between daemons about documents.
type Message interface {
	documentsMessage()
}

// Digest is a hash of a daemon's active versions: equal hashes mean equal versions. It is sent
// with heartbeats.
type Digest struct {
	Hash uint64 `msgpack:"hash"`
}

// ServiceVersion is a service's version at one daemon.
type ServiceVersion struct {
	Service state.ServiceID       `msgpack:"service"`
	Version state.DocumentVersion `msgpack:"version"`
}

// Announce reports a version that the sender has just applied. Patch contains the change from
// the previous version where it is small.
type Announce struct {
	Service state.ServiceID       `msgpack:"service"`
	Version state.DocumentVersion `msgpack:"version"`
	EditID  string                `msgpack:"edit"`
	Patch   *Patch                `msgpack:"patch"`
}

// Versions lists the sender's active versions for comparison. One without Reply is answered
// with the receiver's versions. Ready reports that the sender knows that it is current.
type Versions struct {
	Have  []ServiceVersion `msgpack:"have"`
	Ready bool             `msgpack:"ready"`
	Reply bool             `msgpack:"reply"`
}

// Pull requests the documents that are newer than Have.
type Pull struct {
	Have []ServiceVersion `msgpack:"have"`
}

// Docs carries complete documents.
type Docs struct {
	Docs []Doc `msgpack:"docs"`
}

// VersionRequest requests the receiver's active version of a service.
type VersionRequest struct {
	Service state.ServiceID `msgpack:"service"`
}

// VersionResponse answers VersionRequest; Version is 0 if there is none.
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
