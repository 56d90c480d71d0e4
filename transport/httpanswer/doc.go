// Package httpanswer tells sound HTTP/1.1 answers from broken ones, for all clients of this module. net/http
// reads the answers; this package rejects those that it accepts although they are broken.
//
//   - Conn: an answer without a length whose connection was reset while its request was being written.
//   - CheckHead and CheckFields, and Transport for clients that use net/http's Transport: a status that no answer
//     has, and a field whose name is no token.
package httpanswer
