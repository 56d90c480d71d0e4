// Package retrybudget bounds the number of requests that are retried on a second
// backend server, summed over all daemons, without any message between them: each
// daemon may spend a share of its own requests plus an equal part of the slack
// configured for the site.
//
// Requests and retries both count for one Window after they were made, so no interval
// of one Window contains more retries than allowed.
package retrybudget
