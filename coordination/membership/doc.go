// Package membership decides which daemons are alive and disseminates small facts among
// them. It depends on no service other than the daemons themselves.
//
// The protocol belongs to the SWIM family. Each daemon monitors a bounded number of
// neighbours: its successor and predecessor on several rings, each of which orders the live
// daemons by a different hash. The union of the rings approximates a random graph of degree
// 2 log2(n) that every daemon computes from its own view, so the connections, probes and
// broadcasts per daemon do not grow with the site. A neighbour that answers neither a direct
// nor an indirect probe becomes suspect, and dead unless it refutes in time. Updates and
// facts are queued as broadcasts: each is sent once to each neighbour, piggybacked on probes
// or in separate gossip messages, within a byte rate. Periodically, two daemons compare
// bucket hashes of their complete state and exchange the records that differ.
//
// # The caller's contract
//
// One goroutine owns a Membership. It passes events to Step, performs the returned actions,
// and calls Step with Tick at NextTick. Send.Address is the destination of a message; Send.To
// is empty when only an address is known. Received.From is the sender as identified by the
// transport's handshake. Messages may be lost, duplicated, delayed and reordered.
//
// A view is a hint. It can be wrong for some time on any daemon; no safety property
// (at-most-once execution, fencing, accepted documents) may depend on it.
//
// # Failures that the package guards against
//
//   - lagging-instance-list: the list names daemons that no longer exist and lacks new ones.
//     It only supplies addresses to contact; one reachable address is enough.
//   - regions-parted: during a network partition each partition considers the other one dead.
//     Dead members are contacted for Config.DeadRetention, and each refutes its own death.
//   - isolated-daemon: View.Connectivity reports how long ago a peer last answered and what
//     share of the known daemons is considered alive.
//   - lease-lapses-while-paused, in its membership part: a daemon that was paused detects that
//     its timers are late and restarts its probes before it suspects anyone (see detectPause).
//   - notice-lost: an observation of a backend server reaches every daemon over several paths,
//     so that a lost message does not matter.
//   - backend-leaving: when one daemon observes that a backend server is leaving, all daemons
//     receive it as a fact.
package membership
