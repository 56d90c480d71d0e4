// Package quarantine prevents a request whose content crashes backend servers from
// crashing many of them, whatever idempotency key or daemon its caller uses for
// repeats.
//
// The death of a backend server implicates the fingerprint of every content that ran
// there. An implicated content runs exclusively: on a replica that runs nothing else,
// and at one daemon at a time, which holds the lock for it. If the replica dies again,
// the content is quarantined: it is refused for Config.QuarantineTTL. If a run of it
// completes, exclusive or not, it is cleared.
//
// The lock is a row of the table service, written conditionally on its revision, so
// that "at most one exclusive crash" depends on no clock, view or message. Implications
// are soft facts that daemons send to each other: they are merged as sets, bounded, and
// expire.
//
// Bound: while its quarantine lasts, a content causes at most W+1 crashes, where W is
// the number of runs started by daemons that did not yet know of the first crash. A
// caller that repeats only after it received the failure has W = 1, hence two crashes,
// if the failure is reported after the action DeathPropagated. Each daemon that dies
// between a crash and DeathPropagated can add one to W.
//
// Failures handled here:
//
//   - A caller sends a crashing request again and again: replicas die one after
//     another, and the answers of other callers are lost with them.
//   - It is repeated at several daemons at the same time: only one of them gets the
//     lock.
//   - A daemon dies while it holds the lock: the result of its run is unknown, and the
//     content counts as quarantined for Config.UnconfirmedTTL.
//   - A rack failure kills many replicas: of the contents that ran there only those
//     that ran on two of the replicas are implicated, and the failure quarantines none.
//
// Requirements on the caller: report each run with RunStarted before its dispatch and
// with RunEnded after it, and a backend server's death with BackendDied before the
// RunEnded of its runs. Send RunRequested before each dispatch, and observe
// Allow.Exclusive until Allow.Until.
package quarantine
