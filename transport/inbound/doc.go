// Package inbound opens a daemon's HTTP ports and bounds the resources that callers'
// connections may use.
//
// The header and idle timeouts are read through the function given to New each time
// one of them starts to run, because a configuration may change them while
// connections are open.
//
// # Failures handled
//
//   - A caller sends half a header and stops: its connection is closed after the
//     header timeout.
//   - Callers keep connections open without using them: each is closed after the idle
//     timeout, and not sooner, because closing it while the caller sends its next
//     request would lose that request.
//   - A caller sends an endless header: it gets 431, and no more than MaxHeaderBytes
//     bytes are read.
//   - More callers connect than the process has file descriptors for: connections
//     beyond a share of them wait, so that the others are still answered.
//   - A caller leaves before its request is read: CallerLeft reports it at once, so that
//     no server runs the request in vain.
package inbound
