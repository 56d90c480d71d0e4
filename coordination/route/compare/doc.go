// Package compare measures ways to spread requests over replicas: it runs the
// machines of packages route and home, and simpler policies beside them, over
// stand-ins of engines in virtual time. It serves tests and measurements only.
package compare
