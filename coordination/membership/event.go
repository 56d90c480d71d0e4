package membership

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Event is something that happened to this daemon.
type Event interface {
	membershipEvent()
}

// Tick lets timers run; it is due at NextTick and harmless at any time.
type Tick struct{}

// Received is a message of another daemon.
type Received struct {
	From state.Member
	Msg  Message
}

// Seeds replaces the addresses under which daemons may be found: the instance
// list, presence rows, settings. They may be old.
type Seeds struct {
	Addresses []string // host:port, as in Meta.PeerAddress
}

// ConnectionLost says that the connection to a daemon was reset or refused. The
// daemon is probed at once; nothing more is concluded.
type ConnectionLost struct {
	ID state.DaemonID
}

// SetDigest replaces this daemon's own digest.
type SetDigest struct {
	Digest Digest
}

// ReportBackend makes what this daemon found out about a backend server known.
type ReportBackend struct {
	Backend state.BackendID
	Kind    FactKind // one of the Backend kinds
}

// ReportDocument makes the newest version of a document known.
type ReportDocument struct {
	Service state.ServiceID
	Version state.DocumentVersion
}

// Notify makes something known that other packages decide on: every live daemon
// learns it as a fact of the kind Notice, within Config.NoticeKeep.
type Notify struct {
	Text string // a few dozen bytes in the caller's own encoding
}

// Drain says that this daemon takes no new callers from now on.
type Drain struct{}

// Leave says that this daemon stops now. Nothing is sent after its actions.
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

// Action is something for the caller of Step to do.
type Action interface {
	membershipAction()
}

// Send sends Msg to the daemon at Address. To is empty when it is not known which
// daemon that is.
type Send struct {
	To      state.DaemonID
	Address string
	Msg     Message
}

// ViewChanged says that View differs in members, their states or facts.
type ViewChanged struct{}

// Changed says what became of one member, for the log.
type MemberChanged struct {
	Member   state.Member
	From, To State
	New      bool // first seen; From is then meaningless
}

// FactLearned hands over a fact that a peer told, the first time it is seen.
type FactLearned struct {
	Fact Fact
}

// DigestChanged hands over a neighbour's digest that differs from its last one.
type DigestChanged struct {
	From   state.Member
	Digest Digest
}

// Refuted says that others suspected this daemon or held it for dead.
type Refuted struct {
	Claimed State
}

// Late says that this daemon was paused and started over.
type PauseDetected struct {
	Delay time.Duration
}

// Superseded says that a later life of this daemon's ID is around. This process
// must stop; if it is the newer one after all, its incarnation was chosen too low.
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
