// Package httpcall makes single HTTP/1.1 calls whose end is known exactly: it
// was answered, it never left this process, or it was not answered.
//
// net/http alone does not tell the last two apart. A Caller wraps each
// connection, notes whether a byte of the call was written to it, and bars
// further writes of the call before it reports that none was. It never repeats
// a call that may have left: see Caller.Do.
package httpcall
