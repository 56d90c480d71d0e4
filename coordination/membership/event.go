package membership

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Event is an input to Step.
type Event interface {
	membershipEvent()
}

// Tick runs the timers that are due. It is needed at NextTick and harmless at any other time.
type Tick struct{}

// Received is a message from another daemon.
type Received struct {
	From state.Member
	Msg  Message
}

// Seeds replaces the addresses at which daemons may be found: those of the instance list,
// presence rows and settings. They may be outdated.
type Seeds struct {
	Addresses []string // host:port, as in Meta.PeerAddress
}

// ConnectionLost reports that the connection to a daemon was reset or refused. The daemon is
// probed immediately; nothing else is concluded.
type ConnectionLost struct {
	ID state.DaemonID
}

// SetDigest replaces the local daemon's digest.
type SetDigest struct {
	Digest Digest
}

// ReportBackend broadcasts what the local daemon observed about a backend server.
type ReportBackend struct {
	Backend state.BackendID
	Kind    FactKind // one of the Backend kinds
}

// ReportDocument broadcasts the newest version of a document.
type ReportDocument struct {
	Service state.ServiceID
	Version state.DocumentVersion
}

// Notify broadcasts a text that other packages interpret: every live daemon receives it as a
// fact of kind Notice, within Config.NoticeTTL.
type Notify struct {
	Text string // a few dozen bytes, encoded by the caller
}

// Drain reports that this daemon accepts no new callers from now on.
type Drain struct{}

// Leave reports that this daemon stops now. Nothing is sent after its actions.
type Leave struct{}

func (Tick) membershipEvent()           {}
func (Received) membershipEvent()       {}
func (Seeds) membershipEvent()          {}
func (ConnectionLost) membershipEvent() {}
func (SetDigest) membershipEvent()      {}
func (ReportBackend) membershipEvent()  {}
func (ReportDocument) membershipEvent() {}
func (Notify) membershipEvent()         {}
func (Drain) membershipEvent()          {}
func (Leave) membershipEvent()          {}

// Action is an output of Step for the caller to perform.
type Action interface {
	membershipAction()
}

// Send sends Msg to the daemon at Address. To is empty when the daemon at that address is
// unknown.
type Send struct {
	To      state.DaemonID
	Address string
	Msg     Message
}

// ViewChanged reports that members, their states or facts in View have changed.
type ViewChanged struct{}

// MemberChanged reports the transition of one member, for the log.
type MemberChanged struct {
	Member   state.Member
	From, To State
	New      bool // first observed; From is then meaningless
}

// FactLearned delivers a fact received from a peer, the first time it is observed.
type FactLearned struct {
	Fact Fact
}

// DigestChanged delivers the Digest of a neighbour, a summary of that daemon, when it
// differs from the neighbour's previous one.
type DigestChanged struct {
	From   state.Member
	Digest Digest
}

// Refuted reports that others considered this daemon suspect or dead.
type Refuted struct {
	Claimed State
}

// PauseDetected reports that this daemon was paused and has restarted its probes.
type PauseDetected struct {
	Delay time.Duration
}

// Superseded reports that a later incarnation of this daemon's ID exists. This process must
// stop; if it is in fact the newer one, its incarnation was chosen too low.
type Superseded struct {
	By state.Incarnation
}

func (Send) membershipAction()          {}
func (ViewChanged) membershipAction()   {}
func (MemberChanged) membershipAction() {}
func (FactLearned) membershipAction()   {}
func (DigestChanged) membershipAction() {}
func (Refuted) membershipAction()       {}
func (PauseDetected) membershipAction() {}
func (Superseded) membershipAction()    {}
