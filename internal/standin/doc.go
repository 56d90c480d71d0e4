// Package standin holds small stand-ins of the systems around hibiscuswick, for
// the demo, the measurements and the tests: the platform (table service, object
// store, instance list), model engines, plain services, and a TCP proxy between
// daemons. Each listens on a loopback port that the kernel chose, speaks the
// protocols of docs/PROTOCOLS.md in real time, and has switches for the failures
// that the real system shows.
//
// A Ledger, shared by the engines and plain services of one site, records what
// truly ran. Tests check the router by it and never by the router's own word.
package standin
