// Package membership decides which daemons are alive, and spreads small facts
// among them, without any service besides the daemons themselves.
//
// The protocol is of the SWIM family. Each daemon watches a bounded number of
// neighbours: its successor and predecessor on a few rings, each ring ordering
// the live daemons by another hash. The union of the rings is a random-like
// graph of degree 2 log2(n) that every daemon works out from its own view, so that
// connections, probes and rumours per daemon do not grow with the fleet. A
// neighbour that answers neither directly nor through helpers becomes suspect, and
// dead unless it refutes in time. Updates and facts are rumours: told once to each
// neighbour, on probes and on gossip messages of their own, within a byte rate.
// Now and then two daemons compare bucket hashes of all they know and exchange
// what differs.
//
// # The caller's contract
//
// One goroutine owns a Membership. It hands in events with Step, carries out the
// actions, and calls Step with Tick at NextTick. Send.Address is where a message
// goes; Send.To is empty when only an address is known. Received.From is the
// sender by the transport's own handshake. Messages may be lost, repeated, delayed
// and reordered at will.
//
// A view is a hint. It can be wrong for a while on any daemon; nothing that must
// hold (at most once, fencing, accepted documents) may rest on it.
//
// # Failures that the guards are for
//
//   - lagging-instance-list: the list names daemons that are gone and lacks new
//     ones. It only supplies addresses to contact; one that answers is enough.
//   - regions-parted: both sides hold each other for dead. Dead members are
//     contacted for Config.DeadKeep, and each refutes its own death.
//   - isolated-daemon: View.Reach tells how long no peer has answered and how much
//     of the known fleet is held alive.
//   - lease-lapses-while-paused, in its membership part: a daemon that was paused
//     finds its timers late and starts over before it accuses anyone (see late).
//   - notice-lost: what one daemon found out of a backend server reaches all by
//     several ways, also where a message is lost.
//   - backend-leaving: a backend server's leaving, seen by one daemon, reaches all
//     as a fact.
package membership
