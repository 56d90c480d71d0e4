// Package retrybudget bounds the number of requests that are retried on a second
// backend server, summed over all daemons: each daemon may spend a share of its own
// requests plus an equal part of the slack configured for the site.
//
// Requests and retries both count for one Window after they were made, so no interval
// of one Window contains more retries than allowed.
//
// # Restarts
//
// A process that ends takes its counts with it. A daemon therefore keeps a Record of its
// counts in a table that outlives it, and a restarted daemon continues from there (see
// Inherit). A Record covers the retries made before it and a number of reserved ones that
// may follow. Spend grants a retry only if it is reserved in a record that has been
// written, so the record never understates the retries of a process that ends. What was
// reserved and not spent counts as spent after a restart.
//
// # The caller's contract
//
// One goroutine writes the records: it calls NewRecord when NeedsRecord reports true, and
// Written or NotWritten with the outcome before the next one. While the table does not
// answer, SetUnrecorded lets retries through without a reservation: the bound then holds
// only as long as no daemon restarts.
//
// # Failures that the package guards against
//
//   - all-lose-power: all daemons lose their counts at once, and spend the allowance of the
//     window a second time.
//   - retries-after-restarts: daemons restart several times within one window.
package retrybudget
