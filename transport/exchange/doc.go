// Package exchange sends HTTP/1.1 requests to backend servers over pooled
// connections, one request at a time on each, and reports as precisely as possible
// whether a failed request may have run.
//
// net/http's Transport is not used here because it retries some requests on its
// own, returns an answer that belongs to another request, and does not distinguish
// a request that was never sent from one that may have run.
//
// # Failures handled
//
//   - A server sends bytes after a complete answer. They are detected when the
//     connection is taken from the pool, and the connection is closed; or they are
//     read as an answer with another request's ID, which is skipped.
//   - A server answers before it has read a long body and keeps the connection
//     open. It would read the next request as the rest of the body, so the
//     connection is closed unless the body was written completely before the answer
//     ended.
//   - A server resets the connection while a long body is being written. The
//     connections are of transport/httpanswer, so that a part of an answer without a
//     length is not taken for all of it.
//   - A server sends a head that is none of an answer. The call is incomplete, whatever
//     else the head says, and the connection is closed.
//   - A server sends bytes that are no answer and never ends: the bytes before the end of a head are
//     bounded, those of a chunk's extensions and of trailers by net/http, and those of a body by the
//     reader of the Response.
//   - A server that lost power or is partitioned does not answer: writes fail after
//     the TCP user timeout, reads end with their context.
package exchange
