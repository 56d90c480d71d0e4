// Package limit enforces a customer's limit on one service, requests per second
// with a burst, in total over all daemons while daemons start, stop and pause.
//
// # Roles
//
// Every Limiter has three roles:
//
//   - A seat is one of a fixed list of daemon names. It holds 1/Total of every
//     limit and lends this share to one owner, separately for each shard of keys.
//     A loan expires by itself, on the owner's clock before it does on the seat's.
//     Only then may the seat lend the shard to another owner. So two owners never
//     count the same seat at the same time, whatever their membership views.
//   - An owner keeps a token bucket for each key of a shard. It refills the bucket
//     at the rate and up to the burst that its borrowed seats allow, and gives the
//     tokens to holders in batches.
//   - A holder spends tokens on requests, returns those that it does not need, and
//     requests more as its demand changes. A batch expires on the holder's clock
//     before it does on its owner's, and on the owner's before any loan that
//     backed it.
//
// # Invariants
//
// For each key, at any time and with clocks whose rates are off by up to
// Config.MaxClockDrift:
//
//   - the tokens that holders can spend are at most the burst;
//   - the requests admitted in any t seconds are at most burst + rate*t.
//
// # Failures guarded against
//
//   - An owner is paused, partitioned or wrongly taken for dead while another one
//     replaces it: both together have no more seats than there are.
//   - A holder resumes after its batch has expired: the batch is checked against
//     the clock each time a token is spent.
//   - Messages are lost, late or duplicated: lifetimes count from the moment when
//     the side that benefits sent its request, and messages older than the newest
//     one of their sender are dropped.
//   - A new incarnation of a seat does not know what the old one lent: it lends
//     nothing until every such loan has expired. An old incarnation that resumes
//     after it was replaced lends nothing before a fresh answer of another daemon,
//     which tells it that it was replaced.
//
// # Contract for the caller
//
//   - There is one Limiter per daemon, used by one goroutine.
//   - now is a monotonic clock that also advances while the process is stopped,
//     read just before Step.
//   - Seats and Total are the same in all daemons; docs/design/limits.md describes
//     how to change them.
//   - Send a Tick at NextTick or shortly afterwards.
package limit
