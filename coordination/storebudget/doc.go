// Package storebudget manages one daemon's share of what the table service can handle: several
// hundred writes and about two thousand reads per second for the whole site. Every store call of
// the daemon passes through it.
//
// Daemons share the site's rate without coordinating with the store or each other: each derives its
// share from its own membership view (Roles). Claims are allotted to the few key homes, lease
// renewals to the lease holders, and the rest to all daemons equally. If views differ, the shares
// add up to somewhat more or less than the site's rate: two halves of a partitioned site use it
// twice at worst. The store's own refusals and latency then slow the daemons down.
//
// Within a daemon each class has a token bucket. The overflow of full buckets goes to whichever
// class is short of tokens, the most urgent first; a class that uses its share keeps it, so that no
// class starves.
//
// Failures guarded against: a store that is slow or refuses calls, which more calls would make
// worse; a store that is down, whose recovery would release the waiting calls of all daemons at the
// same moment.
package storebudget
