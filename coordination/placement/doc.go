// Package placement decides which backend servers hold which layers of which
// service: contiguous ranges, each layer of a chain once, with the smallest
// bottleneck that the chosen servers allow.
//
// Times are in units of one layer's step on a server of speed 1. A stage of n
// layers on a server of speed s takes n/s, and the transfer of its output to the
// next stage on top. A chain's throughput is the inverse of its slowest stage,
// the bottleneck, since every stage works on another request's token meanwhile.
//
// Plan lays out an empty site. Repair changes a layout as little as it can: a
// whole chain is never touched, and the surviving stages of a broken one keep
// their weights. Improve moves the chains that a degraded link has slowed.
// Hysteresis says when that is worth it.
//
// All functions are pure and give equal results for equal input. They never run
// on the control goroutine at a large site: the daemon calls them on a worker
// with a copy of the input.
//
// Failures guarded against: a stage, an instance or a failure domain is lost
// (Repair, and Plan spreads a service's chains over the domains); a link degrades
// or flaps (Hysteresis); an instance joins (Repair uses it for missing chains
// only, so that work under way isn't moved).
package placement
