// Package pathing chooses the way of a request through the layers of a model.
//
// A path runs each layer once and in order. It is the cheapest way from layer 0 to
// the last one, where an edge is a backend server that holds the layers from some
// position on. What a server costs grows with its steps, with the streams that it runs, with
// the time for which it reads the prompt, and with how little room it has for tokens; a hop
// to another failure domain costs extra, since all paths share the links between domains.
//
// It has no clock and does no input or output. The caller makes a Roster of each list of
// servers, fills in a State for each of its cards by what it runs on them itself, has Estimate
// turn that into what all daemons run, and asks Choose for a path.
//
// # Load patterns that it answers
//
//   - Many daemons before few engines: each knows only its own requests (Estimate).
//   - Fast cards beside slow ones: slow ones are used once what the fast ones run makes them
//     as slow (the price of a card).
//   - Cards that run out of room for tokens: they preempt streams and read them again, so that
//     they grow dearer before (scarceFrom).
//   - A domain that lacks a layer: paths cross once, or begin in another domain (crossWeight,
//     farMS).
//   - Thousands of engines: like ones are looked at as a group (Roster).
package pathing
