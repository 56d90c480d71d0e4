// Package storebudget owns one daemon's share of what the table service can
// take: several hundred writes and about two thousand reads a second for the
// whole site. Every store call of the daemon passes it.
//
// Daemons share the site's rate without a word to the store or to each other:
// each works its share out from what its membership view already tells (Roles).
// Claims go to the few key homes, lease renewals to the holders of leases, the
// rest to all alike. Views that differ make the shares add up to somewhat more
// or less than the site's rate: two parts of a parted site use it twice at
// worst. The store's own refusals and slowness then cut the daemons back.
//
// Within a daemon each class has a token bucket. What full buckets leave over
// goes to whichever class is short, the most urgent first; a class that uses its
// share keeps it, so that none starves.
//
// Failures guarded against: a store that is slow or refuses calls, which more
// calls would make worse; a store that is down, whose return would bring the
// waiting calls of all daemons at one moment.
package storebudget
