// Package pathing chooses the way of a request through the layers of a model.
//
// A path runs each layer once and in order. It is the cheapest way from layer 0 to
// the last one, where an edge is a backend server that holds the layers from some
// position on. What a server costs grows with the requests that it runs for us and
// with how little room it has for tokens; a hop to another failure domain costs
// extra, since all paths share the links between domains.
//
// Choose is a pure function of its arguments.
package pathing
