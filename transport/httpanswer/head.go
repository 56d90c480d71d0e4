package httpanswer

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// ErrMalformed means that a server has sent something else than an answer of HTTP/1.1. The request may have
// run, and the connection can't be used again.
var ErrMalformed = errors.New("malformed answer")

// The statuses that an answer may have (RFC 9110, section 15).
const (
	minStatus = 100
	maxStatus = 599
)

// CheckHead returns an error that wraps ErrMalformed if a head, as net/http has read it, is none of an answer.
//
// Guard (broken-head): net/http accepts each status of three characters that is a number, and its servers can't
// send on those below 100.
func CheckHead(status int, fields http.Header) error {
	if status < minStatus || status > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrMalformed, status)
	}
	return CheckFields(fields)
}

// CheckFields returns an error that wraps ErrMalformed if the name of a field, of a head or a trailer as net/http
// has read it, is no token.
//
// Guard (broken-head): net/http accepts blanks in a name, and no other byte that is not of a token. Such a field is
// not the one of that name without blanks, so that a length or a coding of the body would be ignored.
func CheckFields(fields http.Header) error {
	for name := range fields {
		if strings.Contains(name, " ") {
			return fmt.Errorf("%w: blank in the name of the field %q", ErrMalformed, name)
		}
	}
	return nil
}
