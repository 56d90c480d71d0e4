package httpanswer

import (
	"errors"
	"fmt"
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
func CheckHead(status int) error {
	if status < minStatus || status > maxStatus {
		return fmt.Errorf("%w: status %03d", ErrMalformed, status)
	}
	return nil
}
