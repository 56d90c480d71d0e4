// Package httpcall makes single HTTP/1.1 calls and reports their result exactly: a
// call was answered, it was never sent, or it was sent and not answered.
//
// net/http alone does not distinguish the last two. A Caller wraps each connection,
// records whether a byte of the call was written to it, and blocks further writes of
// the call before it reports that none was. It never retries a call that may have
// been sent: see Caller.Do.
package httpcall
