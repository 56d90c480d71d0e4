// Package shares tells how far a customer exceeds its fair share of a service that is overloaded,
// over all daemons together. It does not decide what is rejected; admission treats the requests of a
// customer that exceeds its share as less urgent than others of their rank.
//
// A customer's use of a service is the number of tokens that its requests were admitted for, decayed
// with the time constant Window. While a service is contended, each daemon reports its customers' use
// once per ReportInterval over a tree: a node has Config.Fanout children and is owned by a daemon that
// rendezvous hashing chooses from the live ones, so that no daemon has to be elected and only the
// nodes of a daemon that ends move. The owner of the root computes the max-min fair share, and a table
// with it and the largest customers goes down the same tree. Nothing is written to the store.
//
// # Fair share
//
// An overloaded service should have a fraction of its present load. That is divided so that customers
// that want less than their share get what they want, and what they leave is lent to the others, in
// proportion to their weights. A share is never less than the weight's part of the present load. What
// was rejected counts as wanted, so that a lent share is given back as soon as its owner asks for it.
//
// # Contract for the caller
//
// The package must be used by one goroutine at a time. Charge, Reject, MarkContended and Excess are
// for requests. Step processes an event and returns the resulting actions; Tick is due at NextTick
// and harmless at any other time. now is a monotonic clock.
//
// # Guarantees
//
// Let u(t) be a customer's use at time t, including that of processes that have ended; D the number of
// levels of the tree, the logarithm of the number of daemons to the base Fanout; and d the longest
// time that a message takes, with the pauses of its receiver.
//
//   - A daemon counts at most u(t) * exp(2*D*d/Window). All partitions together count no more, from
//     Lease + 2*D*d after the daemons of each know of the others' absence: a use belongs to one daemon,
//     which has one place in the tree, and it decays wherever it is held. Their shares divide what
//     they count, so that the parts of all partitions add up to the same bound.
//   - A daemon counts at least exp(-A/Window) * u(t-A) - D*T/(96+1) of what the daemons of its
//     partition have admitted, where A = (D+1) * (ReportInterval + 0.2 s) + 2*D*d and T is the use of
//     all customers: reports list the 96 largest customers and sum up the others.
//   - That holds from Lease + D * (ReportInterval + 0.2 s) + 2*D*d after the members are known again.
//     Until then, and without a table, daemons whose use is not known are taken to be loaded as the
//     known ones are, so that no customer is held to less than its share.
//   - A share is at least T * weight / (weights of all customers), so never nothing.
//   - No customer exceeds its share from MarkTTL + 2*D*d after the last daemon found the service
//     overloaded, and nothing is sent from NoticeTTL later.
//
// # Load patterns covered
//
//   - One customer has the engines full, and twenty small ones wait behind it.
//   - The callers of a customer all use one daemon, while those of another are spread: daemons that
//     divide the service among their own customers would favor the one that is spread.
//   - A customer that was quiet asks for its share.
//
// # Failures guarded against
//
//   - A daemon ends, pauses, restarts or is cut off: its last report expires, its nodes move, and the
//     partitions each divide what their daemons admit.
//   - A message is lost, late or delivered twice: reports and tables of a process are numbered, and
//     later ones replace earlier ones.
//   - Daemons disagree for a while about the owner of a node: of two reports for the same node, or two
//     tables, the one that includes more daemons is used, and never both.
//   - A daemon's counters restart with its process: a new incarnation replaces the report of the
//     former one.
//   - A customer is removed: its counters decay, and are forgotten.
package shares
