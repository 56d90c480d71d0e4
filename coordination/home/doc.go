// Package home decides which request gets which replica's slot.
//
// The replicas of a service are grouped into pools. One daemon at a time is
// meant to be the home of a pool (package route computes which); its Home
// machine counts the pool's slots exactly and holds one queue for all its
// replicas. Entry daemons ask it for a slot, get a grant or a refusal, drive
// the backend servers themselves, and release the grant.
//
// # Contract for the caller
//
// One goroutine calls Step. Actions are valid until the next Step. Messages to
// the home's own daemon are actions like any other, and the caller feeds them
// back. Messages of one peer to another arrive in the order in which they were
// sent, or not at all.
//
// # What holds, and what does not
//
// A home never grants more slots of a replica than it has, counting the grants
// that it knows of. All state here is soft: nothing is written anywhere, and a
// home that is lost takes only its queue with it. Two daemons that both
// believe to be the home of a pool may together grant up to twice the slots;
// requests then share an engine's batch for a while. No promise to callers
// rests on a grant: at most once rests on the claim row and on the engine.
//
// # Failures that the guards are for
//
//   - A home dies: the next one asks all members which grants they hold before
//     it grants anything (see learn.go), and entry daemons ask again.
//   - An entry daemon dies: its grants and its place in the queue are freed
//     when the membership view drops it.
//   - A message is lost: Renewals carry a digest of what the holder has; a
//     lasting difference is settled by a full report.
//   - A replica fails calls: it gets nothing until a back-off ends, then one
//     request as a probe (see replica.go).
//   - A link degrades: the tokens a second of a replica's released grants fall,
//     and it is chosen as if it were of a slower kind.
//   - Cache events come late or not at all: prefix affinity is a preference
//     with a bounded cost (see choose.go).
package home
