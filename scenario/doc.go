// Package scenario runs scenario scripts, written in a small test language,
// against the coordination core in virtual time.
//
// A Simulation holds the real state machines of several daemons (requests, claims,
// retry budgets, documents), one home for the replicas, and small models of engines
// and the table service behind their interfaces. Commands change it, advance time
// and print what callers and operators would see. It uses no real clock, socket or
// goroutine, so a script gives the same output on every run.
//
// The Simulation checks the invariants that hold in every scenario, and prints a
// line that begins with VIOLATION when one is broken: each layer runs once and in
// order for each token of an attempt, each caller gets each token once and in
// order, a request that must not be repeated starts at most once, and a request
// that was refused as not run never runs.
//
// The commands are listed in docs/SCENARIOS.md.
package scenario
