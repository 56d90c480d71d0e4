// Package settings defines the settings of one daemon: the JSON file with its
// addresses, its failure domain and its limits.
//
// Settings is a plain struct and immutable once decoded. Decode reports all
// faults of a text at once, each with its path. Settings do not change while the
// daemon runs; what operators change at run time is in the service documents.
package settings
