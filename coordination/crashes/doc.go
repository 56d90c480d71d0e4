// Package crashes keeps a request whose content crashes backend servers from
// crashing many of them, whatever daemon its caller repeats it at.
//
// A server that died under a request which had not had its first event implicates
// the request's content. A content that is implicated by a second server is refused
// for KeptFor; one whose answer begins is cleared. Daemons tell each other what was
// implicated, so that the count is that of the site.
//
// Package quarantine guards the same failure where a replica can be given to one
// request alone. Here every engine is part of many paths, so that a suspect content
// is tried once more among others: it costs one engine, and no row of the store.
package crashes
