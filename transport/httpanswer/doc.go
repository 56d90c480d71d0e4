// Package httpanswer holds what each reader of HTTP/1.1 answers needs to tell a complete answer from
// a broken one: a reset that the writer of the request was told of reaches the reader of the answer.
package httpanswer
