// Package gateway is the daemon that routes whole requests: to plain servers, and
// to engines that pass a request along a path of layers by themselves. It decides
// through the pure packages of coordination and reaches the site only through the
// interfaces of protocol/site and protocol/backend.
//
// One control goroutine owns the control state: the configuration and the list of
// servers as they are followed, the membership of the daemons, and the duty of
// ordering layers. It publishes an immutable view through an atomic pointer.
// Traffic goroutines read views and own their request; what they share (loads,
// suspects, the retry budget) stands in one book under one mutex, held for
// microseconds.
package gateway
