// Package daemon gives testscript the commands of whole-daemon stories: a site of
// daemons and stand-ins on loopback ports, in the process of the test, and callers
// that read their answers in the background. The stories are in testdata; the tests
// of hibiscusctl run them, so that they can use it.
//
// Nothing is timed: a command that waits does so until its condition holds, with a
// generous bound. The commands are listed in docs/SCENARIOS.md.
package daemon
