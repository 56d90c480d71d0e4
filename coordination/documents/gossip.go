package documents

import (
	"slices"
	"strings"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// announce sends a version that was just applied to a few random daemons. Each daemon does so
// once per version: most receive it within a few hops, and the others detect a differing
// digest.
func (d *Documents) announce(id state.ServiceID, entry *activeDocument, from state.Member) {
	msg := Announce{Service: id, Version: entry.record.Version, EditID: entry.record.EditID, Patch: entry.patch}
	fanout := d.cfg.Fanout
	if from == d.self {
		fanout = d.cfg.OriginFanout
	}
	for _, m := range d.randomPeers(fanout, from) {
		d.send(m, msg)
	}
}

// randomPeers returns up to n random live daemons other than exclude.
func (d *Documents) randomPeers(n int, exclude state.Member) []state.Member {
	var picked []state.Member
	for _, i := range d.rng.Perm(len(d.live)) {
		if len(picked) == n {
			break
		}
		if d.live[i] != exclude {
			picked = append(picked, d.live[i])
		}
	}
	return picked
}

func (d *Documents) send(to state.Member, msg Message) {
	d.actions = append(d.actions, Send{To: to, Msg: msg})
}

func (d *Documents) handleMessage(from state.Member, msg Message) {
	switch msg := msg.(type) {
	case Digest:
		d.handleDigest(from, msg)
	case Announce:
		d.handleAnnounce(from, msg)
	case Versions:
		d.handleVersions(from, msg)
	case Pull:
		d.sendDocs(from, msg.Have)
	case Docs:
		for _, doc := range msg.Docs {
			d.applyRecord(doc.Service, recordOf(doc), 0, from)
		}
	case VersionRequest:
		d.send(from, VersionResponse{Service: msg.Service, Version: d.version(msg.Service)})
	case VersionResponse:
		// Handled by Rollout.
	}
}

// recordOf returns the record of a document that came from a peer, without accepted edits.
func recordOf(doc Doc) Record {
	return Record{Version: doc.Version, EditID: doc.EditID, Text: string(doc.Text)}
}

func (d *Documents) version(id state.ServiceID) state.DocumentVersion {
	if entry := d.active[id]; entry != nil {
		return entry.record.Version
	}
	return 0
}

// handleDigest starts a comparison of versions if the digests differ. It does not while gossip
// may still be in flight.
func (d *Documents) handleDigest(from state.Member, msg Digest) {
	quiet := d.now.Sub(d.appliedAt) >= d.cfg.QuietPeriod
	due := d.now.Sub(d.comparedAt) >= d.cfg.CompareInterval
	if msg.Hash == d.hash || !quiet || !due {
		return
	}
	d.comparedAt = d.now
	d.send(from, Versions{Have: d.versions(), Ready: d.ready})
}

func (d *Documents) versions() []ServiceVersion {
	list := make([]ServiceVersion, 0, len(d.active))
	for id, entry := range d.active {
		list = append(list, ServiceVersion{id, entry.record.Version})
	}
	slices.SortFunc(list, func(a, b ServiceVersion) int {
		return strings.Compare(string(a.Service), string(b.Service))
	})
	return list
}

func (d *Documents) handleAnnounce(from state.Member, msg Announce) {
	have := d.version(msg.Service)
	if msg.Version <= have {
		return
	}
	if msg.Patch != nil && msg.Patch.From == have && have > 0 && msg.Version == have+1 {
		if text, ok := msg.Patch.apply(d.active[msg.Service].record.Text); ok {
			doc := Doc{Service: msg.Service, Version: msg.Version, EditID: msg.EditID, Text: text}
			d.applyRecord(msg.Service, recordOf(doc), 0, from)
			return
		}
	}
	if msg.Version <= d.missing[msg.Service] && d.now.Sub(d.pulledAt) < d.cfg.CompareInterval {
		return // requested already; retryPull requests again if that was lost
	}
	d.markMissing(msg.Service, msg.Version)
	d.pull(from)
}

// markMissing records that other daemons have version v of a service's document, if that
// is newer than the version here and any other one recorded as missing.
func (d *Documents) markMissing(id state.ServiceID, v state.DocumentVersion) {
	if v > d.version(id) && v > d.missing[id] {
		d.missing[id] = v
	}
}

// pull requests the missing documents from a peer.
func (d *Documents) pull(from state.Member) {
	if len(d.missing) == 0 {
		return
	}
	d.pulledAt = d.now
	d.send(from, Pull{Have: d.missingVersions()})
}

// missingVersions lists the services with missing documents and their active versions.
func (d *Documents) missingVersions() []ServiceVersion {
	var list []ServiceVersion
	for id := range d.missing {
		list = append(list, ServiceVersion{id, d.version(id)})
	}
	slices.SortFunc(list, func(a, b ServiceVersion) int {
		return strings.Compare(string(a.Service), string(b.Service))
	})
	return list
}

// retryPull requests what is still missing after a lost message or a peer's death from another
// daemon and from the store.
func (d *Documents) retryPull() {
	if len(d.missing) == 0 || d.now.Sub(d.pulledAt) < d.cfg.CompareInterval {
		return
	}
	for _, m := range d.randomPeers(1, state.Member{}) {
		d.pull(m)
	}
	d.pulledAt = d.now
	if d.storeDown {
		return
	}
	for _, sv := range d.missingVersions() {
		if !d.readingRow(sv.Service) {
			d.readRow(sv.Service, nil)
		}
	}
}

func (d *Documents) readingRow(id state.ServiceID) bool {
	for _, p := range d.calls {
		if p.kind == callGet && p.service == id {
			return true
		}
	}
	return false
}

// handleVersions compares a peer's versions. Each of the two pulls what it lacks.
func (d *Documents) handleVersions(from state.Member, msg Versions) {
	for _, sv := range msg.Have {
		d.markMissing(sv.Service, sv.Version)
	}
	if msg.Ready {
		d.readyReports[from.ID] = true
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
		entry := d.active[sv.Service]
		if entry == nil || entry.record.Version <= sv.Version {
			continue
		}
		if size > 0 && size+len(entry.record.Text) > d.cfg.MaxDocsBytes {
			d.send(to, msg)
			msg = Docs{}
			size = 0
		}
		msg.Docs = append(msg.Docs, entry.record.doc(sv.Service))
		size += len(entry.record.Text)
	}
	if len(msg.Docs) > 0 {
		d.send(to, msg)
	}
}
