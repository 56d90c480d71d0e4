// Package compare measures policies for distributing requests over replicas. It runs
// the state machines of packages route and home, and simpler policies next to them,
// over simulated engines in virtual time. It is used for tests and measurements only.
package compare
