// Package scenario runs stories written in a small test language against the
// core in virtual time.
//
// A World holds the real machines of some daemons (requests, claims, retry
// budgets, documents), one home of the replicas, and small models of engines and
// the table service at their interfaces. Commands change it, let time pass, and
// print what callers and operators would see. There is no real clock, socket or
// goroutine, so that a script gives the same output on every run.
//
// The World checks by itself what must hold in every story, and prints a line
// that begins with VIOLATION where it does not: each layer runs once for each
// token of an attempt and in order, each caller gets each token once and in
// order, what is never to be repeated begins once, and what was refused as not
// run did not run and never will.
//
// The commands are listed in docs/SCENARIOS.md.
package scenario
