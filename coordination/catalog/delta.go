package catalog

import (
	"slices"

	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/coordination/controller"
	"github.com/hibiscuswick/hibiscuswick/state"
)

// diff returns the change from a to b. The chain of a replica ID never changes, so only added
// replicas, removed replicas and changes of Leaving are compared.
func diff(a, b controller.ReplicaTable) Delta {
	d := Delta{Service: b.Service, From: versionOf(a), To: versionOf(b), Document: b.Document, Parts: 1}
	old := make(map[state.ReplicaID]bool, len(a.Replicas))
	for _, r := range a.Replicas {
		old[r.Chain.ID] = r.Leaving
	}
	kept := make(map[state.ReplicaID]bool, len(b.Replicas))
	for _, r := range b.Replicas {
		kept[r.Chain.ID] = true
		if leaving, ok := old[r.Chain.ID]; !ok || leaving != r.Leaving {
			d.Set = append(d.Set, r)
		}
	}
	for _, r := range a.Replicas {
		if !kept[r.Chain.ID] {
			d.Removed = append(d.Removed, r.Chain.ID)
		}
	}
	return d
}

// changesSince merges the changes in the log that follow a version.
func changesSince(log []Delta, have Version) (Delta, bool) {
	_, at, ok := lo.FindIndexOf(log, func(d Delta) bool { return d.From == have })
	if !ok {
		return Delta{}, false
	}
	merged := log[at]
	set := make(map[state.ReplicaID]controller.Replica)
	removed := make(map[state.ReplicaID]bool)
	for _, d := range log[at:] {
		for _, r := range d.Set {
			set[r.Chain.ID] = r
			delete(removed, r.Chain.ID)
		}
		for _, id := range d.Removed {
			delete(set, id)
			removed[id] = true
		}
		merged.To, merged.Document = d.To, d.Document
	}
	merged.Set = lo.Values(set)
	slices.SortFunc(merged.Set, byID)
	merged.Removed = lo.Keys(removed)
	slices.Sort(merged.Removed)
	return merged, true
}

// applyParts applies the parts of one Delta to t. A change from the empty table replaces t.
func applyParts(t controller.ReplicaTable, parts []Delta) controller.ReplicaTable {
	d := parts[0]
	next := controller.ReplicaTable{Service: d.Service, Document: d.Document, Fencing: d.To.Fencing, Serial: d.To.Serial}
	replaced := make(map[state.ReplicaID]bool)
	for _, p := range parts {
		next.Replicas = append(next.Replicas, p.Set...)
		for _, r := range p.Set {
			replaced[r.Chain.ID] = true
		}
		for _, id := range p.Removed {
			replaced[id] = true
		}
	}
	if d.From == (Version{}) {
		return next
	}
	for _, r := range t.Replicas {
		if !replaced[r.Chain.ID] {
			next.Replicas = append(next.Replicas, r)
		}
	}
	return next
}
