// Package client sends requests to hibiscuswick and reads their answers, across
// failures of daemons and connections.
//
// Do queries which daemons to use, caches that list until it expires, and sends the
// request to the first. When the connection ends or becomes unresponsive, it resumes
// the answer at the next daemon, after the last token received. Each token is
// delivered to the caller exactly once, in order.
//
// Every request has an idempotency key. Do generates a random one where the caller
// gives none, so that sending the request again never creates a second request.
package client
