// Package state holds the values that hibiscuswick decides on: identifiers,
// requests, attempts, replicas, outcomes. It does no input or output, has no
// clock and starts no goroutine; every other layer imports it.
//
// A value of this package is either immutable after construction or owned by
// exactly one goroutine; none of its types locks.
package state
