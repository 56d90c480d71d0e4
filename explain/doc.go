// Package explain tells the story of one request from the logs of several daemons.
//
// A request's attempt lives in one daemon, whose lines about it are its steps. Each
// step is shown with what that daemon went by then and how long it had known it: the
// configuration, the store, the servers of the path. What other daemons saw of the
// same servers shortly before and after tells whether a server failed or the daemon
// was cut off. The cause is concluded from these alone.
//
// Read is lenient: lines that are no log lines are counted and passed over, since
// logs come with prefixes and cut ends.
package explain
