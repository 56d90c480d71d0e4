// Package ctl implements the operators' commands: apply, read and watch service
// documents, show the daemons' status and drain a daemon. Command hibiscusctl is a
// thin front end to it.
//
// A Client calls any of several daemons, one after the other. It holds no state of
// the site.
package ctl
