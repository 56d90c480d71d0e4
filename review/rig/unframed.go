package rig

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
)

// RequestID returns the id of a request.
func RequestID(r *http.Request) string { return r.Header.Get(hdrRequestID) }

// LastEvent returns the last event that the caller of a stream has.
func LastEvent(r *http.Request) int {
	n, _ := strconv.Atoi(r.Header.Get(hdrLastEvent))
	return n
}

// WriteUnframedHead writes the head of an answer that ends with its connection.
func WriteUnframedHead(out *bufio.Writer, request, server string, stream bool) {
	kind := "application/octet-stream"
	if stream {
		kind = "text/event-stream"
	}
	_, _ = fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: %s\r\n%s: %s\r\n%s: %s.1\r\n\r\n", kind, hdrRequestID, request, hdrStamp, server)
}

// Piece is one of the n pieces of a plain answer.
func Piece(request string, i, n int) string {
	return fmt.Sprintf("%s piece %3d of %3d ................................................................\n", request, i, n)
}
