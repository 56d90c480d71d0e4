// Package daemon implements a router process as a library. A Daemon is built
// from settings, validates them, and runs until it is drained or killed.
//
// One control goroutine owns all control state (documents, members, replica
// homes, leases) and publishes it as immutable views through an atomic pointer.
// Each request has its own goroutine, which owns that request's state machine
// and reads the views.
package daemon
