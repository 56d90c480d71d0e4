// Package docscheck checks hand-written pages against the code: the failures listed
// in docs/FAILURES.md against the labels of the tests and scenarios, the alarms in
// docs/OPERATIONS.md against the log events, and the links between pages against the
// files that exist. It consists of tests only.
package docscheck
