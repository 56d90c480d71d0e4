// Package home assigns the slots of replicas to requests.
//
// The replicas of a service are grouped into pools. One daemon at a time is meant to be
// the home of a pool (package route computes which). Its Home state machine counts the
// pool's slots exactly and holds one queue for all of its replicas. Entry daemons
// request a slot from it, receive a grant or a refusal, drive the backend servers
// themselves, and release the grant.
//
// # Requirements on the caller
//
// One goroutine calls Step. Actions are valid until the next Step. Messages to the
// home's own daemon are actions like any other, and the caller feeds them back.
// Messages between two peers are delivered in the order in which they were sent, or not
// at all.
//
// # Guarantees
//
// A home never grants more slots of a replica than the replica has, counting the grants
// that it knows of. All state here is soft: nothing is persisted, and a home that is
// lost takes only its queue with it. Two daemons that both consider themselves the home
// of a pool may together grant up to twice the slots; requests then share an engine's
// batch for a while. No guarantee to callers depends on a grant: at-most-once execution
// depends on the claim row and on the engine.
//
// # Failures handled here
//
//   - A home dies: the next one asks all members for the grants they hold before it
//     grants anything (see recovery.go), and entry daemons repeat their requests.
//   - An entry daemon dies: its grants and its queued requests are dropped when it
//     leaves the membership view.
//   - A message is lost: renewals carry a digest of what the holder has. A lasting
//     difference is resolved by a full report.
//   - A replica fails calls: it gets no request until a back-off ends, then one request
//     as a probe (see replica.go).
//   - A link degrades: the tokens per second of a replica's released grants fall, and
//     it is chosen as if it were of a slower kind.
//   - Cache events are late or lost: prefix affinity is a preference with a bounded
//     cost (see choose.go).
package home
