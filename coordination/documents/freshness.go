package documents

import (
	"encoding/json"
	"time"

	"github.com/hibiscuswick/hibiscuswick/coordination/store"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// bootstrapQueryInterval is the time between rounds of version queries to peers by a daemon
// that is not ready.
const bootstrapQueryInterval = 500 * time.Millisecond

func (d *Documents) storeResponded() {
	d.storeAnsweredAt = d.now
	d.storeDown = false
}

// poll scans the version rows.
func (d *Documents) poll() {
	if d.polling || d.now.Before(d.nextPoll) {
		return
	}
	d.polling = true
	d.callStore(store.Scan{Table: VersionsTable}, pendingCall{kind: callScan})
}

func (d *Documents) handleScan(res store.Result) {
	d.polling = false
	interval := d.cfg.PollInterval
	if d.reachesMajority() {
		interval = max(interval, time.Duration(len(d.live)+1)*d.cfg.PollIntervalPerMember)
	}
	d.nextPoll = d.now.Add(interval*3/4 + time.Duration(d.rng.Int64N(int64(interval/2)+1)))
	if res.Status != store.Done {
		d.storeDown = true
		if !d.ready {
			d.nextPoll = d.now.Add(d.jitter(d.cfg.MaxBackoff))
		}
		return
	}
	d.storeResponded()
	d.scanSucceeded = true
	for _, row := range res.Rows {
		var v versionRecord
		if json.Unmarshal(row.Value, &v) != nil {
			continue
		}
		id := state.ServiceID(row.Key)
		d.markMissing(id, v.Version)
		if d.version(id) < v.Version && !d.readingRow(id) {
			d.readRow(id, nil)
		}
	}
}

// bootstrap makes the daemon ready once it has the highest versions recorded in the store or,
// while the store does not answer, those of enough peers that are ready themselves. Peers that
// started at the same time and have no versions yet do not count.
func (d *Documents) bootstrap() {
	if d.ready {
		return
	}
	if len(d.missing) == 0 && (d.scanSucceeded || d.enoughReadyReports()) {
		d.ready = true
		d.actions = append(d.actions, ReadyChanged{})
		return
	}
	if d.now.Sub(d.bootstrapQueriedAt) < bootstrapQueryInterval || len(d.live) == 0 {
		return
	}
	d.bootstrapQueriedAt = d.now
	for _, m := range d.randomPeers(d.cfg.BootstrapPeers+1, state.Member{}) {
		d.send(m, Versions{Have: d.versions()})
	}
}

// enoughReadyReports reports whether enough ready peers have reported their versions. Dead
// daemons can't report, so they count only towards the majority; otherwise a daemon that
// replaces a dead one during a store outage would wait for it.
func (d *Documents) enoughReadyReports() bool {
	needed := max(1, min(d.cfg.BootstrapPeers, len(d.live)))
	return d.reachesMajority() && len(d.readyReports) >= needed
}

func (d *Documents) setMembers(ev Members) {
	d.live = ev.Live
	d.totalMembers = max(ev.Known, 1)
	if d.reachesMajority() {
		d.majorityAt = d.now
		return
	}
	// Now only the store can show that this daemon is current.
	if soon := d.now.Add(d.cfg.PollInterval); d.nextPoll.After(soon) {
		d.nextPoll = soon
	}
}

func (d *Documents) reachesMajority() bool {
	return 2*(len(d.live)+1) > d.totalMembers
}

// checkIsolation guards against an isolated daemon or region: edits continue elsewhere, and it
// would keep serving outdated documents. Without the store, reaching a majority of the daemons
// shows that gossip still arrives; while the store is down for every daemon, no document can be
// edited.
func (d *Documents) checkIsolation() {
	if !d.ready {
		return
	}
	isolated := !d.now.Before(d.FreshUntil())
	if isolated != d.isolated {
		d.isolated = isolated
		d.actions = append(d.actions, IsolatedChanged{Isolated: isolated})
	}
}
