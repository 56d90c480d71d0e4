// Package cover decides which layers each engine holds.
//
// The layout is a cover, not a set of chains: each engine holds one contiguous range, ranges may
// overlap, and a path uses any part of them. The first layout places the ranges of each failure
// domain end to end from layer 0 on, so that paths stay within a domain, and places the remaining
// engines where layers have the fewest copies. Later, only engines without layers are assigned
// some, and an engine whose layers are all held twice is moved to layers that no engine holds.
//
// Plan and Repair are pure functions, so that every daemon computes the same result from the same
// server list.
package cover
