// Package state defines the domain types of hibiscuswick: identifiers, requests,
// attempts, replicas and outcomes. It does no I/O, reads no clock and starts no
// goroutine; all other layers import it.
//
// A value of this package is either immutable after construction or owned by
// exactly one goroutine; none of the types uses locks.
package state
