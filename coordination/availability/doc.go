// Package availability tracks what backend servers state in their answers about requests that they
// do not want: for how long one that has turned a request away wants no further request from this
// daemon, and that one is leaving.
package availability
