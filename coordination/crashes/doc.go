// Package crashes keeps a request whose content crashes backend servers from crashing many of them,
// whichever daemon its caller repeats it at.
//
// A server that died while running a request that had not produced its first event implicates the
// request's content. A content that is implicated by a second server is refused for ImplicationTTL;
// a content whose answer starts is cleared. Daemons send each other their implications, so that the
// count covers the whole site.
//
// Package quarantine guards against the same failure where a replica can be reserved for one
// request. Here every engine is part of many paths, so a suspect content is tried once more on
// shared engines: this costs one engine, and no row in the store.
package crashes
