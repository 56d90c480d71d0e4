// Package siteload adds up the load that all daemons of a site put on the engines of a service.
//
// Each daemon knows only the streams that it has sent itself. At hundreds of daemons these are a few
// at a time, which say little about an engine. So each daemon reports the KV-cache tokens that its
// streams hold, by group of engines (same failure domain, accelerator kind and layers), to an
// aggregator, and the answer gives it the totals of all daemons. One daemon is the aggregator of the
// engines of one service and failure domain, by rendezvous hashing over the live daemons.
//
// The state is soft: a new aggregator knows the loads again after one interval of reports, and a
// daemon that gets no answer extrapolates its own load as if there were no aggregator.
//
// The package has no clock and does no I/O. Callers serialize the calls.
//
// # Load patterns covered
//
//   - Many daemons in front of few engines: whether the engines of a group are full is known within an
//     interval, whatever part of their load a daemon sees itself.
//
// # Failures guarded against
//
//   - A daemon dies, is cut off or leaves: its report expires (reportLife), so that its load counts for
//     at most that long after its streams have ended.
//   - Reports overtake each other or are repeated: only a report with a higher number replaces the one
//     before, also after a restart, which begins a new incarnation.
//   - The aggregator changes, restarts or is cut off from some daemons: totals say how many daemons
//     they include, and are used only if these are most of the live ones (minIncluded).
//   - The answer is late or missing: totals expire (totalsLife).
package siteload
