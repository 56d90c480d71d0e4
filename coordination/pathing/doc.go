// Package pathing chooses the path of a request through the layers of a model.
//
// A path runs each layer once and in order. It is the cheapest path from layer 0 to the last one in
// a graph whose edges are backend servers that hold the layers from some position on. The cost of a
// server grows with its decode step, the streams that it runs, its prefill time for the prompt, and
// the scarcity of its KV-cache capacity. A hop to another failure domain costs extra, since all
// paths share the links between domains.
//
// The package has no clock and does no I/O. The caller creates a Roster for each list of servers,
// fills in a ServerState for each candidate from the requests that it runs there itself, calls
// Estimate to extrapolate the load of all daemons, and calls Choose for a path.
//
// # Load patterns covered
//
//   - Many daemons in front of few engines: each daemon knows only its own requests (Estimate).
//   - Fast and slow engines: slow ones are used once the load of the fast ones makes them as slow
//     (the price of an engine).
//   - Engines that run out of KV-cache capacity: they preempt streams and repeat their prefill, so
//     their cost rises before that point (scarceShare).
//   - A domain that lacks a layer: paths cross once, or begin in another domain (crossWeight,
//     remoteFirstHopMS).
//   - Thousands of engines: identical ones are evaluated as a group (Roster).
package pathing
