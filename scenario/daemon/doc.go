// Package daemon provides the testscript commands of the scenarios that run complete
// daemons: a site of daemons and stand-ins on loopback ports in the test process, and
// callers that read their answers in the background. The scripts are in testdata; the
// tests of hibiscusctl run them, so that the scripts can call hibiscusctl.
//
// No command depends on timing: a command that waits polls its condition, with a
// generous timeout. The commands are listed in docs/SCENARIOS.md.
package daemon
