// Package weights shares the weight store's rate among the controllers of all
// services: a number of loads that may run at one time on the whole site.
//
// Every service may always run a few loads (controller.Config.LoadsAlways), so
// that repair goes on whatever else is down. The rest is a pool. The holder of
// the lease named Service is its Allocator and grants shares of it, which expire;
// each controller's daemon has an Asker that renews its share.
//
// # Bound
//
// The pool is never granted twice. A share counts, for its user, from the moment
// it was asked for, and for the allocator from the moment it was granted, which
// is later; the spans differ by the clocks' drift besides. The allocator grants
// only while it holds the lease, and a new one grants nothing until every share
// of a former one has run out. A load that runs on after its share has run out is
// reported with the next request and granted first; only a controller that can't
// reach the allocator for longer than a span can make the site run more loads
// than Config.Total, by as many as it had running.
//
// # Failures guarded against
//
// The allocator dies, is paused or cut off, or the store is down: shares run out
// and each service falls back to its own few loads.
package weights
