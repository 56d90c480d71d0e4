// Package retrybudget bounds the requests that are sent to a second backend server
// over all daemons together, without any message between them: each daemon spends
// a share of its own requests and an equal part of the slack that the site allows.
//
// A request counts from when it came until Window later, a retry likewise, so that
// no span of one Window has more retries than allowed.
package retrybudget
