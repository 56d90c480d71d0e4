// Package cover decides which layers each engine holds.
//
// The layout is a cover, not a set of chains: each engine holds one contiguous
// range, ranges may overlap, and a path uses any part of them. The first layout
// lays the ranges of each failure domain end to end from layer 0 on, so that paths
// stay within a domain, and puts the engines that are left where the fewest copies
// of a layer are. Later only engines without layers are given some, and an engine
// whose layers are all held twice is moved where a layer is held by none.
//
// Plan and Repair are pure functions, so that any daemon comes to the same result
// from the same listing.
package cover
