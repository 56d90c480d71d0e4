// Package client sends requests to hibiscuswick and reads their answers, through
// the death of daemons and connections.
//
// Do asks which daemons to use, keeps that answer as long as it holds, and sends
// the request to the first. When the connection ends or falls silent it takes the
// answer up again at the next one, after the last token that it has. Tokens reach
// the caller once each, in order.
//
// Every request has an idempotency key; where the caller gives none, a random one
// is made, so that sending it again never is a second request.
package client
