package siteload

import (
	"time"

	"github.com/hibiscuswick/hibiscuswick/state"
)

// Part names the engines of one service in one failure domain.
type Part struct {
	Service state.ServiceID     `msgpack:"s"`
	Domain  state.FailureDomain `msgpack:"d"`
}

// Group identifies a group of engines of one Part that differ only in their load. Daemons that list
// the same engines compute the same number.
type Group uint32

// Loads are the KV-cache tokens held by streams, by group.
type Loads map[Group]uint32

// Report is a daemon's message to the aggregator of a part.
type Report struct {
	Part Part `msgpack:"p"`
	// Number increases with each report of a daemon's incarnation.
	Number uint64 `msgpack:"n"`
	Loads  Loads  `msgpack:"l"`
}

// Totals is the answer to a Report: the loads of all daemons that have reported lately.
type Totals struct {
	Part    Part  `msgpack:"p"`
	Daemons int   `msgpack:"c"` // number of daemons included
	Loads   Loads `msgpack:"l"`
}

// reportLife is how long a report counts: four intervals, since a busy daemon reports late.
const reportLife = 4 * Interval

// Interval is the time between two reports of a daemon.
const Interval = 400 * time.Millisecond

// Aggregator adds up the reports for the parts that its daemon is responsible for.
type Aggregator struct {
	parts map[Part]map[state.DaemonID]received
}

// received is the last report of a daemon.
type received struct {
	incarnation state.Incarnation
	number      uint64
	at          time.Time
	loads       Loads
}

// NewAggregator returns an aggregator without reports.
func NewAggregator() *Aggregator {
	return &Aggregator{parts: make(map[Part]map[state.DaemonID]received)}
}

// Receive applies a daemon's report and returns the totals.
func (a *Aggregator) Receive(now time.Time, from state.Member, r Report) Totals {
	reports, ok := a.parts[r.Part]
	if !ok {
		reports = make(map[state.DaemonID]received)
		a.parts[r.Part] = reports
	}
	old, known := reports[from.ID]
	outdated := known && (from.Incarnation < old.incarnation || from.Incarnation == old.incarnation && r.Number <= old.number)
	if !outdated {
		reports[from.ID] = received{incarnation: from.Incarnation, number: r.Number, at: now, loads: r.Loads}
	}
	return a.totals(now, r.Part)
}

// totals adds up the reports of a part, and drops those that have expired.
func (a *Aggregator) totals(now time.Time, p Part) Totals {
	out := Totals{Part: p, Loads: make(Loads)}
	reports := a.parts[p]
	for id, r := range reports {
		if now.Sub(r.at) > reportLife {
			delete(reports, id)
			continue
		}
		out.Daemons++
		for g, tokens := range r.loads {
			out.Loads[g] += tokens
		}
	}
	return out
}

// Prune drops the parts without a recent report. It bounds the memory for services and domains that
// come and go.
func (a *Aggregator) Prune(now time.Time) {
	for p := range a.parts {
		if a.totals(now, p).Daemons == 0 {
			delete(a.parts, p)
		}
	}
}
