package gateway

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuswick/hibiscuswick/coordination/crashes"
	"github.com/hibiscuswick/hibiscuswick/coordination/membership"
	"github.com/hibiscuswick/hibiscuswick/coordination/outlier"
	"github.com/hibiscuswick/hibiscuswick/coordination/permits"
	"github.com/hibiscuswick/hibiscuswick/coordination/reach"
	"github.com/hibiscuswick/hibiscuswick/coordination/shares"
	"github.com/hibiscuswick/hibiscuswick/coordination/suspect"
	"github.com/hibiscuswick/hibiscuswick/protocol/peer"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// Notices are findings of one daemon about a server or a request's content that all daemons
// need: suspect.OutdatedNotice, suspect.RefusalNotice, suspect.LeavingNotice, suspect.PaceNotice,
// suspect.SilentNotice, outlier.Notice, permits.LimitNotice, reach.Notice, shares.ContentionNotice, crashes.EndNotice, crashes.PartsNotice and crashes.ClearNotice. They are spread as
// facts of the membership: each daemon sends to a few neighbors, whatever the number of daemons,
// and a daemon that misses a message gets it from another one.

var errNoNotice = errors.New("not a notice")

// noticeKindLen is the length in bytes of the kind that precedes a notice's body.
const noticeKindLen = 2

// encodeNotice encodes a registered message with its kind.
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

// decodeNotice decodes the result of encodeNotice.
func decodeNotice(r *peer.Registry, text string) (any, error) {
	if len(text) < noticeKindLen {
		return nil, errNoNotice
	}
	kind := binary.BigEndian.Uint16([]byte(text[:noticeKindLen]))
	return r.Decode(peer.Envelope{Kind: peer.Kind(kind), Body: []byte(text[noticeKindLen:])})
}

// broadcast sends a notice to all live daemons.
func (g *Gateway) broadcast(msg any) {
	g.control.post(func() { g.control.members.broadcast(msg) })
}

// broadcast sends a notice to all live daemons; it is called on the control goroutine.
func (m *membersState) broadcast(msg any) {
	g := m.c.g
	text, err := encodeNotice(g.messages, msg)
	if err != nil {
		g.log.Emit(telemetry.EventNoticeUnreadable, telemetry.Peer(g.self.ID), telemetry.Cause(err))
		return
	}
	m.step(membership.Notify{Text: text})
}

// handleFact applies another daemon's notice, as of the time at which that daemon issued
// it.
func (g *Gateway) handleFact(now time.Time, f membership.Fact) {
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
		g.shared.markOutdated(at, m)
	case suspect.RefusalNotice:
		g.shared.recordRefusal(at, m.Address)
	case suspect.LeavingNotice:
		g.shared.markLeaving(at, m)
	case suspect.PaceNotice:
		if g.currentSettings().Contention.ReportedPace {
			g.shared.recordPace(at, m)
		}
	case suspect.SilentNotice:
		g.shared.markSilent(at, m)
	case outlier.Notice:
		g.receiveEjection(at, m)
	case permits.LimitNotice:
		g.control.permits.step(permits.LimitReceived{LimitNotice: m, At: at})
	case reach.Notice:
		g.reach.receive(at, f.Reporter, m)
	case shares.ContentionNotice:
		g.shares.step(now, shares.NoticeReceived{ContentionNotice: m, At: at})
	case crashes.EndNotice:
		g.applyEnds(at, []crashes.EndNotice{m})
	case crashes.ClearNotice:
		g.shared.clearContents(at, m.Contents)
	case crashes.PartsNotice:
		g.applyParts(at, m)
	case crashes.Implication:
		for _, server := range m.Servers {
			g.shared.implicate(at, server, crashes.Run{Content: m.Fingerprint, Phase: crashes.Fresh})
		}
	}
}
