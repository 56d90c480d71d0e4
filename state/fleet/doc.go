// Package fleet defines the values that a gateway uses for routing: the active
// configuration, the backend servers with the layers that each one holds, and the
// path of a request through them. All values are immutable once published.
//
// The names, types and order of the fields of Config, Server and the types in
// them are part of the format of rows that daemons forward to each other: the
// receiver rejects rows whose field fingerprint differs from its own and reads
// them from the store instead.
package fleet
