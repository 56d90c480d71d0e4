package crashes

import (
	"slices"
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// EndNotice is the message to other daemons that a server ended while it ran contents, by the phases
// of their runs.
type EndNotice struct {
	Server  state.BackendIncarnation `msgpack:"s"`
	Fresh   []Fingerprint            `msgpack:"f,omitempty"`
	Lasting []Fingerprint            `msgpack:"r,omitempty"`
	Waiting []Fingerprint            `msgpack:"w,omitempty"`
	// Starting are those of Fresh whose runs were starting. Earlier versions do not know the field.
	Starting []Fingerprint `msgpack:"b,omitempty"`
	AgeMS    int64         `msgpack:"a,omitempty"` // since the server ended, in ms; 0 for just now
}

// ofPhase returns the contents whose runs were in a phase.
func (n *EndNotice) ofPhase(phase Phase) *[]Fingerprint {
	switch phase {
	case Fresh, Starting:
		return &n.Fresh
	case Lasting:
		return &n.Lasting
	default:
		return &n.Waiting
	}
}

// Age is the time since the server ended.
func (n EndNotice) Age() time.Duration {
	return time.Duration(min(max(n.AgeMS, 0), ImplicationTTL.Milliseconds())) * time.Millisecond
}

// ClearNotice is the message to other daemons that complete answers have cleared contents.
type ClearNotice struct {
	Contents []Fingerprint `msgpack:"c"`
}

// maxNoticeContents bounds the fingerprints in one notice, so that it fits a gossip message.
const maxNoticeContents = 64

// EndNotices returns the messages that tell of runs on a server that ended.
func EndNotices(server state.BackendIncarnation, runs []Run) []EndNotice {
	var out []EndNotice
	size := maxNoticeContents // of the last notice
	for _, run := range runs {
		n := 1
		if run.Phase == Starting {
			n = 2
		}
		if size+n > maxNoticeContents {
			out, size = append(out, EndNotice{Server: server}), 0
		}
		out[len(out)-1].add(run)
		size += n
	}
	return out
}

func (n *EndNotice) add(run Run) {
	contents := n.ofPhase(run.Phase)
	*contents = append(*contents, run.Content)
	if run.Phase == Starting {
		n.Starting = append(n.Starting, run.Content)
	}
}

// Runs returns the runs that the notice tells of.
func (n EndNotice) Runs() []Run {
	var out []Run
	for _, phase := range []Phase{Fresh, Lasting, Waiting} {
		for _, fp := range *n.ofPhase(phase) {
			run := Run{Content: fp, Phase: phase}
			if phase == Fresh && slices.Contains(n.Starting, fp) {
				run.Phase = Starting
			}
			out = append(out, run)
		}
	}
	return out
}

// ClearNotices returns the messages that tell of cleared contents.
func ClearNotices(contents []Fingerprint) []ClearNotice {
	var out []ClearNotice
	for len(contents) > 0 {
		n := min(len(contents), maxNoticeContents)
		out = append(out, ClearNotice{Contents: contents[:n]})
		contents = contents[n:]
	}
	return out
}

// Implication is the message of earlier versions that servers ended while they ran a content. It is
// received and no longer sent.
type Implication struct {
	Fingerprint Fingerprint                `msgpack:"f"`
	Servers     []state.BackendIncarnation `msgpack:"s"`
}
