package documents

import (
	"slices"
	"strings"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// announce tells a few random daemons of a version just adopted. Each daemon
// does so once a version: most learn of it within a few hops, and those that
// gossip missed learn by a differing digest.
func (d *Documents) announce(id state.ServiceID, h *held, from state.Member) {
	msg := Announce{Service: id, Version: h.record.Version, EditID: h.record.EditID, Patch: h.patch}
	fanout := d.cfg.Fanout
	if from == d.self {
		fanout = d.cfg.OriginFanout
	}
	for _, m := range d.pick(fanout, from) {
		d.send(m, msg)
	}
}

// pick draws up to n live daemons, none of them not.
func (d *Documents) pick(n int, not state.Member) []state.Member {
	var picked []state.Member
	for _, i := range d.rng.Perm(len(d.live)) {
		if len(picked) == n {
			break
		}
		if d.live[i] != not {
			picked = append(picked, d.live[i])
		}
	}
	return picked
}

func (d *Documents) send(to state.Member, msg Message) {
	d.out = append(d.out, Send{To: to, Msg: msg})
}

func (d *Documents) received(from state.Member, msg Message) {
	switch msg := msg.(type) {
	case Digest:
		d.compare(from, msg)
	case Announce:
		d.announced(from, msg)
	case Versions:
		d.compared(from, msg)
	case Pull:
		d.sendDocs(from, msg.Have)
	case Docs:
		for _, doc := range msg.Docs {
			d.adopt(doc.Service, recordOf(doc), 0, from)
		}
	case VersionRequest:
		d.send(from, VersionResponse{Service: msg.Service, Version: d.version(msg.Service)})
	case VersionResponse:
		// For a Rollout; see there.
	}
}

// recordOf is the record of a document that came from a peer, without marks.
func recordOf(doc Doc) Record {
	return Record{Version: doc.Version, EditID: doc.EditID, Text: string(doc.Text)}
}

func (d *Documents) version(id state.ServiceID) state.DocumentVersion {
	if h := d.services[id]; h != nil {
		return h.record.Version
	}
	return 0
}

// compare has two daemons with differing digests tell each other what they
// have. It waits while gossip may still be on its way.
func (d *Documents) compare(from state.Member, msg Digest) {
	quiet := d.now.Sub(d.adoptedAt) >= d.cfg.QuietPeriod
	due := d.now.Sub(d.comparing) >= d.cfg.CompareInterval
	if msg.Hash == d.hash || !quiet || !due {
		return
	}
	d.comparing = d.now
	d.send(from, Versions{Have: d.versions(), Ready: d.ready})
}

func (d *Documents) versions() []ServiceVersion {
	list := make([]ServiceVersion, 0, len(d.services))
	for id, h := range d.services {
		list = append(list, ServiceVersion{id, h.record.Version})
	}
	slices.SortFunc(list, func(a, b ServiceVersion) int {
		return strings.Compare(string(a.Service), string(b.Service))
	})
	return list
}

func (d *Documents) announced(from state.Member, msg Announce) {
	have := d.version(msg.Service)
	if msg.Version <= have {
		return
	}
	if msg.Patch != nil && msg.Patch.From == have && have > 0 && msg.Version == have+1 {
		if text, ok := msg.Patch.apply(d.services[msg.Service].record.Text); ok {
			doc := Doc{Service: msg.Service, Version: msg.Version, EditID: msg.EditID, Text: text}
			d.adopt(msg.Service, recordOf(doc), 0, from)
			return
		}
	}
	if msg.Version <= d.wanted[msg.Service] && d.now.Sub(d.pulledAt) < d.cfg.CompareInterval {
		return // asked for already; repull asks again if that was lost
	}
	d.want(msg.Service, msg.Version)
	d.pull(from)
}

// want notes a version that others have.
func (d *Documents) want(id state.ServiceID, v state.DocumentVersion) {
	if v > d.version(id) && v > d.wanted[id] {
		d.wanted[id] = v
	}
}

// pull asks a peer for the documents that are wanted.
func (d *Documents) pull(from state.Member) {
	if len(d.wanted) == 0 {
		return
	}
	d.pulledAt = d.now
	d.send(from, Pull{Have: d.lacking()})
}

// lacking lists the wanted services with the versions held here.
func (d *Documents) lacking() []ServiceVersion {
	var list []ServiceVersion
	for id := range d.wanted {
		list = append(list, ServiceVersion{id, d.version(id)})
	}
	slices.SortFunc(list, func(a, b ServiceVersion) int {
		return strings.Compare(string(a.Service), string(b.Service))
	})
	return list
}

// repull asks another daemon, and the store, for what a lost message or a dead
// peer left wanted.
func (d *Documents) repull() {
	if len(d.wanted) == 0 || d.now.Sub(d.pulledAt) < d.cfg.CompareInterval {
		return
	}
	for _, m := range d.pick(1, state.Member{}) {
		d.pull(m)
	}
	d.pulledAt = d.now
	if d.storeDown {
		return
	}
	for _, sv := range d.lacking() {
		if !d.getting(sv.Service) {
			d.get(sv.Service, nil)
		}
	}
}

func (d *Documents) getting(id state.ServiceID) bool {
	for _, p := range d.calls {
		if p.kind == callGet && p.service == id {
			return true
		}
	}
	return false
}

// compared takes a peer's versions. Each of the two pulls what it lacks.
func (d *Documents) compared(from state.Member, msg Versions) {
	for _, sv := range msg.Have {
		d.want(sv.Service, sv.Version)
	}
	if msg.Ready {
		d.told[from.ID] = true
	}
	if !msg.Reply {
		d.send(from, Versions{Have: d.versions(), Ready: d.ready, Reply: true})
	}
	for _, sv := range msg.Have {
		if sv.Version > d.version(sv.Service) {
			d.pull(from)
			return
		}
	}
}

// sendDocs sends the documents newer than have, in messages of bounded size.
func (d *Documents) sendDocs(to state.Member, have []ServiceVersion) {
	var msg Docs
	size := 0
	for _, sv := range have {
		h := d.services[sv.Service]
		if h == nil || h.record.Version <= sv.Version {
			continue
		}
		if size > 0 && size+len(h.record.Text) > d.cfg.MaxDocsBytes {
			d.send(to, msg)
			msg = Docs{}
			size = 0
		}
		msg.Docs = append(msg.Docs, h.record.doc(sv.Service))
		size += len(h.record.Text)
	}
	if len(msg.Docs) > 0 {
		d.send(to, msg)
	}
}
