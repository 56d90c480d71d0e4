// Package address decides which daemons a caller should connect to, and how long a
// draining daemon must keep accepting connections because of answers given earlier.
//
// There is no load balancer in front of the daemons: a caller asks any of them, caches
// the answer for its TTL and connects directly. Order is a pure function of the
// candidates and the caller, so all daemons with the same membership view give a caller
// the same answer. Resolver keeps the two facts that a planned stop needs: when the
// last answer naming this daemon expires, and by when every peer has stopped naming it.
//
// Failures handled here:
//
//   - planned-stop: a daemon that closed its listener at once would cut off callers
//     whose cached answers still name it. It accepts connections until DrainUntil.
//   - A daemon that was paused or partitioned names peers that drained in the
//     meantime: the TTL of its answers shrinks with the age of its view
//     (Resolver.Resolve).
//   - Loss of a failure domain: an answer names daemons of at least two failure
//     domains if there are two, so that the caller has an alternative.
package address
