package documents

import (
	"encoding/json"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// bootAskEvery is the time between rounds of questions to peers by a daemon
// that is not ready.
const bootAskEvery = 500 * time.Millisecond

func (d *Documents) heardStore() {
	d.storeAt = d.now
	d.storeDown = false
}

// poll scans the version rows.
func (d *Documents) poll() {
	if d.polling || d.now.Before(d.pollAt) {
		return
	}
	d.polling = true
	d.call(store.Scan{Table: VersionsTable}, pending{kind: callScan})
}

func (d *Documents) scanned(res store.Result) {
	d.polling = false
	every := d.cfg.PollInterval
	if d.inMajority() {
		every = max(every, time.Duration(len(d.live)+1)*d.cfg.PollIntervalPerMember)
	}
	d.pollAt = d.now.Add(every*3/4 + time.Duration(d.rng.Int64N(int64(every/2)+1)))
	if res.Status != store.Done {
		d.storeDown = true
		if !d.ready {
			d.pollAt = d.now.Add(d.jitter(d.cfg.MaxBackoff))
		}
		return
	}
	d.heardStore()
	d.scannedOK = true
	for _, row := range res.Rows {
		var v versionRecord
		if json.Unmarshal(row.Value, &v) != nil {
			continue
		}
		id := state.ServiceID(row.Key)
		d.want(id, v.Version)
		if d.version(id) < v.Version && !d.getting(id) {
			d.get(id, nil)
		}
	}
}

// boot makes the daemon ready once it holds the highest versions that the store
// names, or, while that does not answer, those of enough peers that are ready
// themselves. Peers that started together and know nothing do not count.
func (d *Documents) boot() {
	if d.ready {
		return
	}
	if len(d.wanted) == 0 && (d.scannedOK || d.enoughTold()) {
		d.ready = true
		d.out = append(d.out, ReadyChanged{})
		return
	}
	if d.now.Sub(d.askedAt) < bootAskEvery || len(d.live) == 0 {
		return
	}
	d.askedAt = d.now
	for _, m := range d.pick(d.cfg.BootstrapPeers+1, state.Member{}) {
		d.send(m, Versions{Have: d.versions()})
	}
}

// enoughTold reports whether enough peers that are ready have told their versions.
// Daemons that are dead can't; they count against the majority only, or a daemon
// that replaces a dead one during an outage of the store would wait for it.
func (d *Documents) enoughTold() bool {
	needed := max(1, min(d.cfg.BootstrapPeers, len(d.live)))
	return d.inMajority() && len(d.told) >= needed
}

func (d *Documents) reach(ev Members) {
	d.live = ev.Live
	d.known = max(ev.Known, 1)
	if d.inMajority() {
		d.majorAt = d.now
		return
	}
	// Now the store is the only source that shows that this daemon is current.
	if soon := d.now.Add(d.cfg.PollInterval); d.pollAt.After(soon) {
		d.pollAt = soon
	}
}

func (d *Documents) inMajority() bool {
	return 2*(len(d.live)+1) > d.known
}

// checkIsolation guards against a daemon or a region that is cut off: edits go
// on elsewhere, and it would keep serving by old documents. Without the store,
// being in reach of the greater part of the daemons is what shows that gossip
// still arrives; while the store is down for all, nothing can be edited.
func (d *Documents) checkIsolation() {
	if !d.ready {
		return
	}
	isolated := !d.now.Before(d.FreshUntil())
	if isolated != d.isolated {
		d.isolated = isolated
		d.out = append(d.out, IsolatedChanged{Isolated: isolated})
	}
}
