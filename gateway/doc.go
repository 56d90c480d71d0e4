// Package gateway implements the daemon that routes complete requests, either to plain
// servers or to engines that forward a request along a path of layers by themselves.
// Decisions are made by the pure packages of coordination; the site is reached only through
// the interfaces of protocol/site and protocol/backend.
//
// One control goroutine owns the control state: the configuration and the server list as
// received from their feeds, the membership of the daemons, and the assignment of layers.
// It publishes an immutable view through an atomic pointer. Traffic goroutines read views
// and own their request. What they share (loads, suspects, the retry budget) is in one
// sharedState, guarded by one mutex that is held for microseconds.
package gateway
