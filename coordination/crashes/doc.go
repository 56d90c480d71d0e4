// Package crashes keeps a request whose content crashes backend servers from crashing many of them,
// whichever daemon its caller repeats it at.
//
// A server that ended while it ran a content implicates that content. All contents that it ran are
// implicated, and one of them at most is the cause, so that they are told apart:
//
//   - A content that ends servers does so as it begins to run. Servers count that ended under a run
//     that had just begun; a run that has lasted takes the earlier ones from the count. One that
//     waited shows neither.
//   - A content is refused for ImplicationTTL after the second such server if it is the only one that
//     ran on both, and after the third if others did.
//   - Whatever the age of its runs, it is refused after the fifth server. So is a content that ends
//     servers late in its answer, or while many others end.
//   - A complete answer clears a content.
//
// Daemons send each other the ends that they see, the answers that clear contents, and what is
// refused if a daemon joins, so that the count covers the whole site. Before the second server
// decides, a daemon waits until the others have reported what else ran there.
//
// Hundreds of runs end with one engine, at most daemons of the site. Teller guards against more notices
// than gossip carries: all daemons are told at once of the runs that have most likely ended a server,
// the owner of a content of the others.
//
// Until a content that has ended a server is refused or cleared, one request of the site runs it at a
// time: Turns holds the turns at the daemon that owns the content.
//
// Parts does the same for the parts of prompts that many contents share. A part is suspected after
// three servers that no better explanation and no single content accounts for, and then run in turns;
// it is refused after two or three contents that ran alone with it, until its next trial.
//
// Contract: report each end of a server with Implicate and Ended, each complete answer with Clear and
// Answered, and ask both Judge methods immediately before each send.
//
// Package quarantine guards against the same failure where a replica can be reserved for one
// request. Here every engine is part of many paths, so that a suspect content is tried again on
// shared engines: this costs one or two engines, and no row in the store.
package crashes
