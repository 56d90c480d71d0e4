// Package exchange sends HTTP/1.1 requests to backend servers over kept
// connections, one request at a time on each, and proves as much as can be proved
// of what became of a request.
//
// net/http's Transport is not used here since it repeats some requests by itself,
// hands over an answer that belongs to another request, and does not tell a
// request that never left from one that may have run.
//
// # Failures that the guards are for
//
//   - A server sends bytes after a whole answer. They show when the connection is
//     taken from the pool, which closes it, or as an answer with another
//     request's id, which is skipped.
//   - A server answers before it has read a long body and keeps the connection.
//     Other bytes would follow where the rest of the body is due; the connection
//     is closed unless the body left whole before the answer.
//   - A server that lost power or is partitioned answers nothing: writes fail
//     after the TCP user timeout, reads end with their context.
package exchange
