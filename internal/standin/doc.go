// Package standin provides small stand-ins of the systems around hibiscuswick, for
// the demo, the measurements and the tests: the platform (table service, object
// store, instance list), model engines, plain services, and a TCP proxy between
// daemons. Each listens on a loopback port chosen by the kernel, speaks the protocols
// of docs/PROTOCOLS.md in real time, and can inject the failures of the real system.
//
// A Ledger, shared by the engines and plain services of one site, records what was
// actually executed. Tests check the router against it and not against what the
// router reports.
package standin
