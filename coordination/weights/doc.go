// Package weights shares the weight store's bandwidth among the controllers of all services: it
// limits the number of loads that run at one time in the whole site.
//
// Every service may always run a few loads (controller.Config.LoadsAlways), so that repair
// continues whatever else fails. The rest is a pool. The holder of the lease named LeaseService is
// its Allocator and grants shares of it, which expire; each controller's daemon has a Requester
// that renews its share.
//
// # Bound
//
// The pool is never granted twice. A share counts, for its user, from the moment of the request
// and, for the allocator, from the moment of the grant, which is later; the two durations also
// differ by the clock drift. The allocator grants only while it holds the lease, and a new one
// grants nothing until every share of a former one has expired. A load that still runs after its
// share has expired is reported with the next request and granted first. Only a controller that
// cannot reach the allocator for longer than ShareTTL can exceed Config.PoolSize, by the number of
// loads that it had running.
//
// # Failures guarded against
//
// The allocator dies, is paused or is partitioned, or the store is down: shares expire and each
// service falls back to its own few loads.
package weights
