// Package suspect identifies backend servers that probably do not answer, from the requests that
// cross them.
//
// A server that fails a request is avoided for a time that grows with each failure in a row; any
// complete answer clears it. A server in the middle of a path does not answer by itself: when a
// stream stalls, the suspects are those of its servers that no other stream has recently shown to
// be alive. Streams that share a whole chain stall together, so a suspect is not proven dead: the
// caller probes it.
package suspect
