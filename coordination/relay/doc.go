// Package relay decides what follows when an attempt to have a request answered by
// a backend server has ended: whether its answer is passed on, another server is
// tried, or the caller is told, and what may then be claimed.
//
// The promise that the whole package serves: a refusal says that the request has
// not run and won't, and is given only where that is proved.
package relay
