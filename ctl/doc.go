// Package ctl is what operators do from the command line: check, apply, read
// and watch service documents, see the daemons' state and stop one as planned.
// Command hibiscusctl is a thin front of it.
//
// A Client talks to any of several daemons, one after the other; it holds no
// state of the site.
package ctl
