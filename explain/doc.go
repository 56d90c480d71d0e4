// Package explain reconstructs the timeline of one request from the logs of several
// daemons and determines the cause of its failure.
//
// A request runs on one daemon, whose log lines about it are the steps of the timeline.
// Each step is shown with the state that the daemon had cached at that time, and with
// the age of that state: the configuration, the store, the servers of the path. Lines of
// other daemons about the same servers shortly before and after show whether a server
// failed or the daemon was partitioned. The cause is derived from the logs only.
//
// Read is lenient: lines that are not log lines are counted and skipped, since logs may
// contain prefixes and truncated lines.
package explain
