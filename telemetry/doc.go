// Package telemetry holds what a daemon tells about itself: numbered log events
// (docs/EVENTS.md) and counters (docs/COUNTERS.md). Both catalogues are typed
// constants, so that nothing is logged or counted that the docs don't list.
//
// Log and Metrics may be used by many goroutines at once.
package telemetry
