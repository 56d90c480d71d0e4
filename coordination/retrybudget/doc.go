// Package retrybudget bounds the number of requests that are retried on a second
// backend server, summed over all daemons: each daemon may spend a share of its own
// requests plus an equal part of the slack configured for the site.
//
// Retries count from when they are granted until one Window after the last moment at which
// they may arrive at a server, requests from when callers may have sent them. The site may have as
// many arrivals of retries in an interval of one Window as the slack and the ratio allow of the
// requests of that interval, of the one before it or of the one that begins half a Window
// earlier, whichever has most over all daemons. No daemon knows which that is; each one keeps to
// the mean of the three. Retries that arrive much later than they were granted may
// arrive in an interval with fewer requests than that: they count there, but are not undone.
//
// # Restarts
//
// A process that ends takes its counts with it. A daemon therefore keeps a Record of its
// counts in a table that outlives it, and a restarted daemon continues from there (see
// Inherit). A Record covers the retries made before it and a number of reserved ones that
// may follow in each window. Spend grants a retry only if it is reserved in a record that has
// been written, and in those that may have been, so that whichever record the next process
// reads does not understate what was spent. What was reserved counts as spent after a restart.
// While the table does not answer, the reservation of the last record is all that a daemon has
// in a window.
//
// # The caller's contract
//
// One goroutine writes the records: it calls NewRecord when NeedsRecord reports true, and
// Written once it is known to be written. A record whose outcome is unknown needs no call.
// Each Grant of Spend is ended by Settle or Refund.
//
// # Failures that the package guards against
//
//   - all-lose-power: all daemons lose their counts at once, and spend the allowance of the
//     window a second time.
//   - retries-after-restarts: daemons restart several times within one window.
//   - repeats-of-moving-callers: callers move between daemons, each of which weighs its own requests.
//   - requests-delivered-late: links deliver the requests of a longer time at once.
//   - requests-read-late: a daemon that stood still reads the requests of a longer time at once.
//   - retries-unrecorded: daemons restart after the table did not answer.
//   - repeats-arrive-late: retries that were granted over two windows arrive in one.
package retrybudget
