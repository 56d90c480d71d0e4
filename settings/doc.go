// Package settings holds the settings of one daemon: the JSON file from which
// a process learns its addresses, its failure domain and its bounds.
//
// Settings is a plain struct and immutable once decoded. Decode reports every
// fault of a text at once, each by its path. Settings never change while the
// daemon runs; what operators change stands in service documents.
package settings
