// Package measure runs the two benchmarks of hibiscuswick against embedded stand-ins
// on loopback: throughput, as a share of the theoretical bound of the same engines, and
// recovery, the time from a failure to a caller's next token or accepted request. Each
// is compared with a baseline, a simpler strategy on the same engines.
// docs/MEASURES.md has the formulas and the results.
package measure
