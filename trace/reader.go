package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/samber/lo"
)

// InputError reports an invalid line of a trace.
type InputError struct {
	Line    int // from 1
	Message string
}

// Error implements error.
func (e *InputError) Error() string {
	return fmt.Sprintf("line %d: %s", e.Line, e.Message)
}

// Reader reads a trace line by line.
type Reader struct {
	in         *bufio.Scanner
	lineNumber int
	sources    map[string]bool // sources with a header
}

// NewReader returns a reader of in.
func NewReader(in io.Reader) *Reader {
	s := bufio.NewScanner(in)
	s.Buffer(nil, MaxLineBytes+1)
	return &Reader{in: s, sources: make(map[string]bool)}
}

// LineNumber returns the number of the line that Next returned last, from 1.
func (r *Reader) LineNumber() int {
	return r.lineNumber
}

// Next returns the next line, or io.EOF at the end of the trace. Any other error is
// an *InputError or a read error.
func (r *Reader) Next() (Line, error) {
	if !r.in.Scan() {
		return Line{}, r.endError()
	}
	r.lineNumber++
	l, err := decodeLine(r.in.Bytes())
	if err == nil {
		err = r.check(l)
	}
	if err != nil {
		return l, &InputError{Line: r.lineNumber, Message: err.Error()}
	}
	return l, nil
}

func (r *Reader) endError() error {
	err := r.in.Err()
	switch {
	case errors.Is(err, bufio.ErrTooLong):
		return &InputError{Line: r.lineNumber + 1, Message: fmt.Sprintf("longer than %d bytes", MaxLineBytes)}
	case err != nil:
		return err
	case r.lineNumber == 0:
		return &InputError{Line: 1, Message: "no header: the trace is empty"}
	}
	return io.EOF
}

// decodeLine decodes one JSON value and rejects unknown fields, which are most likely
// a mistake in a line that was written by hand.
func decodeLine(text []byte) (Line, error) {
	var l Line
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&l); err != nil {
		return l, err
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return l, errors.New("more than one JSON value")
	}
	return l, nil
}

// check validates a line.
func (r *Reader) check(l Line) error {
	parts := lo.CountBy([]bool{
		l.Header != nil, l.Request != nil, l.Event != nil, l.Document != nil, l.Fault != nil, l.Expect != nil,
	}, func(set bool) bool { return set })
	switch {
	case parts != 1:
		return errors.New("want exactly one of header, request, event, document, fault, expect")
	case l.Expect != nil:
		return l.Expect.check()
	case l.Source == "":
		return errors.New(`"by" is missing`)
	case l.Header != nil:
		return r.checkHeader(l)
	case !r.sources[l.Source]:
		return fmt.Errorf("no header of %q before this line", l.Source)
	case l.Actions != nil && l.Event == nil:
		return errors.New(`"do" without "event"`)
	case (l.Run == 0) != (l.Request == nil && l.Event == nil):
		return errors.New(`"run" must be set, from 1, with "request" and "event" only`)
	}
	return nil
}

func (r *Reader) checkHeader(l Line) error {
	switch {
	case l.Header.Format != Format:
		return fmt.Errorf("format %q, want %q", l.Header.Format, Format)
	case l.Header.Version != Version:
		return fmt.Errorf("version %d, this reader supports %d", l.Header.Version, Version)
	case r.sources[l.Source]:
		return fmt.Errorf("second header of %q", l.Source)
	}
	r.sources[l.Source] = true
	return nil
}
