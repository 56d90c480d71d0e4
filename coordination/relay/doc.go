// Package relay decides what happens after an attempt to get a request answered by a backend server
// has ended: whether the answer is passed on, another server is tried, or the caller gets an error,
// and what that error may claim.
//
// The package maintains one guarantee: a refusal states that the request has not run and will not
// run, and is given only where that is proven.
package relay
