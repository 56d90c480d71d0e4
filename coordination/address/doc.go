// Package address decides which daemons a caller should use, and how long a
// daemon that drains must go on accepting because of answers given earlier.
//
// There is no balancer before the daemons: a caller asks any one of them, keeps
// the answer for its stated time and connects by itself. Order is a pure
// function of the candidates and the caller, so that every daemon with the same
// view gives one caller the same answer. Book keeps the two facts that a planned
// stop needs: when the last answer naming this daemon runs out, and by when every
// peer has stopped naming it.
//
// Failures that the guards are for:
//
//   - planned-stop: a daemon that closed its listener at once would cut off
//     callers whose answers still name it. It accepts until DrainUntil.
//   - a daemon that was paused or cut off names peers that drained meanwhile:
//     its answers lose validity with the age of its view (Book.Answer).
//   - a failure domain is lost: an answer names daemons of at least two failure
//     domains where there are two, so that the caller has somewhere to go.
package address
