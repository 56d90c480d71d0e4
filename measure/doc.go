// Package measure takes the two measures of hibiscuswick against embedded
// stand-ins on loopback: throughput as a share of the theoretical bound of the
// same engines, and the time from a failure to a caller's next token or accepted
// request. Each runs a simpler way over the same engines beside it, as the
// baseline. docs/MEASURES.md has the formulas and the figures.
package measure
