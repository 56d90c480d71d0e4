// Package placement decides which backend servers hold which layers of which
// service. Each stage of a chain holds a contiguous range, each layer of a chain
// is held once, and the bottleneck is the smallest that the chosen servers allow.
//
// Times are in units of one layer's step on a server of speed 1. A stage of n
// layers on a server of speed s takes n/s, plus the transfer of its output to the
// next stage. All stages of a chain work at the same time, each on a token of
// another request, so the throughput is the inverse of the time of the slowest
// stage, the bottleneck.
//
// Plan lays out an empty site. Repair changes a layout as little as possible: a
// complete chain is never changed, and the surviving stages of a broken one keep
// their weights. Rebalance moves chains that are slowed by a degraded link;
// Hysteresis decides when that is worth it.
//
// All functions are pure and return equal results for equal input. For a large
// site they take too long for the control goroutine; the daemon calls them on a
// worker with a copy of the input.
//
// # Failures guarded against
//
//   - A stage, an instance or a failure domain is lost: Repair replaces it, and
//     Plan spreads a service's chains over the failure domains.
//   - A link degrades or flaps: Hysteresis.
//   - An instance joins: Repair uses it for missing chains only, so that no
//     request in progress is disturbed.
package placement
