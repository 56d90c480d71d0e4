// Package quarantine keeps a request whose content crashes backend servers from
// crashing many of them, whatever idempotency key or daemon its caller repeats
// it through.
//
// A backend server's death implicates the fingerprint of every content that ran
// there. An implicated content is run alone: in a replica that runs nothing
// else, and at one daemon at a time, who holds the turn for it. If the replica
// dies again, the content is convicted and refused for Config.ConvictedFor; if
// a run of it completes, alone or not, it is cleared.
//
// The turn is a row of the table service, taken by a conditional write, so that
// "one crash alone" rests on no clock, view or message. Implications are soft
// facts, told from daemon to daemon: merged as sets, bounded, and expiring.
//
// The bound: crashes of one content within the life of its conviction are at
// most W+1, where W counts the runs begun by daemons that did not know yet of
// the first crash. A caller that repeats only after it was told of the failure
// has W = 1, so two crashes, if the failure is told after the action Spread.
// Each daemon that dies between a crash and Spread can add one to W.
//
// What it guards against:
//
//   - A caller that sends a crashing request again and again: replicas die one
//     after the other, and other callers' answers with them.
//   - Its repeats at several daemons at the same moment: only one gets the turn.
//   - A daemon that dies during the turn: what became of it is unknown, and the
//     content counts as convicted for Config.UnprovedFor.
//   - A rack failure that kills many replicas: of the contents that ran there
//     only those that ran in two of them are implicated, and it convicts none.
//
// The contract for the caller: report each run with Began before dispatch and
// Ended after it; a backend server's death with Died, before Ended of its runs;
// ask with Ask before each dispatch, and obey Allow.Alone until Allow.Until.
package quarantine
