// Package limit keeps a customer's limit on one service, requests a second with
// a burst, in total over all daemons while they come, go and pause.
//
// Three roles stand in every Limiter:
//
//   - A seat is one of a fixed list of daemon names. It holds 1/Total of every
//     limit and lends it, a shard of keys at a time, to one owner. A loan runs
//     out by itself, on the owner's clock before the seat's, and only then may
//     the seat lend the shard to another. So two owners at once never count the
//     same seat, whatever either believes of the membership.
//   - An owner mints tokens for the keys of a shard, at the rate and up to the
//     burst that its borrowed seats allow, and gives them to holders in batches.
//   - A holder spends tokens on requests, returns what it does not need, and
//     asks for more as its demand moves. A batch runs out on the holder's clock
//     before it does on its owner's, and on the owner's before any loan that
//     backed it.
//
// The invariants, for each key, at any moment and with clocks whose rates are
// off by up to Config.Drift:
//
//   - the tokens that holders can spend are at most the burst;
//   - the requests admitted in any t seconds are at most burst + rate*t.
//
// What it guards against:
//
//   - An owner that is paused, cut off or wrongly believed dead while another
//     takes its place: both together have no more seats than there are.
//   - A holder that wakes after its batch ran out: the batch is checked against
//     the clock at each spend.
//   - Lost, late and repeated messages: lives are counted from the moment the
//     side that profits sent its question, and messages older than the newest
//     of their sender are dropped.
//   - A new life of a seat that does not know what the old one lent: it lends
//     nothing until every such loan has run out. An old life that wakes after
//     its replacement lends nothing before a fresh answer of another daemon,
//     which tells it of its replacement.
//
// The contract for the caller: one Limiter a daemon, one goroutine; now is a
// monotonic clock that goes on while the process is stopped, read just before
// Step; Seats and Total are the same in all daemons (docs/design/limits.md tells
// how to change them); Tick comes at NextTick or a little later.
package limit
