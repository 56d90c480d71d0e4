package gateway

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/permits"
	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/protocol/peer"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// Notices are what one daemon finds out of a server or a content and all are to know:
// suspect.Outdated, suspect.Refusal, suspect.Leaving, permits.Told and crashes.Told. They travel as
// facts of the membership: each daemon tells a few neighbours, whatever the number of
// daemons, and one that misses a message learns it from another.

var errNoNotice = errors.New("not a notice")

// kindLen is the length of the kind of message before its content, in bytes.
const kindLen = 2

// encodeNotice writes a registered message.
func encodeNotice(r *peer.Registry, msg any) (string, error) {
	kind, ok := r.KindOf(msg)
	if !ok {
		return "", errNoNotice
	}
	body, err := msgpack.Marshal(msg)
	if err != nil {
		return "", err
	}
	return string(append(binary.BigEndian.AppendUint16(nil, uint16(kind)), body...)), nil
}

// decodeNotice reads what encodeNotice wrote.
func decodeNotice(r *peer.Registry, text string) (any, error) {
	if len(text) < kindLen {
		return nil, errNoNotice
	}
	kind := binary.BigEndian.Uint16([]byte(text[:kindLen]))
	return r.Decode(peer.Envelope{Kind: peer.Kind(kind), Body: []byte(text[kindLen:])})
}

// tell has all live daemons learn a notice.
func (g *Gateway) tell(msg any) {
	g.control.post(func() { g.control.members.notify(msg) })
}

// notify does the same for the control goroutine.
func (p *membersPart) notify(msg any) {
	g := p.c.g
	text, err := encodeNotice(g.messages, msg)
	if err != nil {
		g.log.Emit(telemetry.EventNoticeUnreadable, telemetry.Peer(g.self.ID), telemetry.Cause(err))
		return
	}
	p.step(membership.Notify{Text: text})
}

// learned takes up a notice of another daemon, as of when that daemon gave it.
func (g *Gateway) learned(now time.Time, f membership.Fact) {
	if f.Kind != membership.Notice {
		return
	}
	msg, err := decodeNotice(g.messages, f.Subject)
	if err != nil {
		g.log.Emit(telemetry.EventNoticeUnreadable, telemetry.Peer(f.Reporter.ID), telemetry.Cause(err))
		return
	}
	at := now.Add(-time.Duration(f.AgeMS) * time.Millisecond)
	switch m := msg.(type) {
	case suspect.OutdatedNotice:
		g.book.contradicted(at, m)
	case suspect.RefusalNotice:
		g.book.refused(at, m.Address)
	case suspect.LeavingNotice:
		g.book.leaves(at, m)
	case permits.LimitNotice:
		g.control.permits.step(permits.LimitReceived{LimitNotice: m, At: at})
	case crashes.Implication:
		g.book.implicate(at, m.Fingerprint, m.Servers...)
	}
}
