// Package suspect tells which backend servers probably don't answer, from what the
// requests that cross them show.
//
// A server that fails a request is avoided for a while, longer each time in a row;
// any whole answer clears it. A server in the middle of a path has no answer of its
// own: where a stream falls silent, the suspects are those of its servers that no
// other stream has shown alive of late. Streams that share a whole chain fall silent
// together, so that a suspect is no proof: the caller probes it.
package suspect
