// Package daemon is hibiscuswick as a library: one Daemon is one process's worth
// of router, provisioned from settings, validated, and run until it is drained.
//
// One control goroutine owns all control state (documents, members, replica
// homes, leases) and publishes it as immutable views through an atomic pointer.
// Each request has a goroutine of its own, which owns that request's state
// machine and reads the views.
package daemon
