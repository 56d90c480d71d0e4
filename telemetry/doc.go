// Package telemetry defines the numbered log events (docs/EVENTS.md) and the
// metrics (docs/COUNTERS.md) of a daemon. Both catalogues are typed constants, so
// that nothing is logged or counted that is not documented.
//
// Log and Metrics are safe for concurrent use.
package telemetry
