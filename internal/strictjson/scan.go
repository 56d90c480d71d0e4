package strictjson

import (
	"encoding/json"
	"fmt"
	"strings"
)

// token is one token: a delimiter, '{', '}', '[' or ']', or a value.
type token struct {
	kind tokenKind
	text []byte // of strings, unescaped, and of numbers, as written
}

// tokenKind is the first byte of a token, except that all numbers are numberToken.
type tokenKind byte

const (
	objectToken tokenKind = '{'
	arrayToken  tokenKind = '['
	stringToken tokenKind = '"'
	trueToken   tokenKind = 't'
	falseToken  tokenKind = 'f'
	nullToken   tokenKind = 'n'
	numberToken tokenKind = '0'
)

// scanner returns the tokens of an input that is one valid JSON value. It skips
// commas and colons, since their places have been checked with the syntax. Without
// repeating that check it runs several times faster than json.Decoder.Token.
type scanner struct {
	text []byte
	pos  int
}

// more reports whether the current object or array has another element.
func (s *scanner) more() bool {
	s.skipSeparators()
	return s.text[s.pos] != '}' && s.text[s.pos] != ']'
}

func (s *scanner) next() token {
	s.skipSeparators()
	switch c := s.text[s.pos]; c {
	case '{', '}', '[', ']':
		s.pos++
		return token{kind: tokenKind(c)}
	case '"':
		return token{stringToken, s.stringValue()}
	case 't', 'n':
		s.pos += len("true")
		return token{kind: tokenKind(c)}
	case 'f':
		s.pos += len("false")
		return token{kind: falseToken}
	default:
		return token{numberToken, s.number()}
	}
}

func (s *scanner) skipSeparators() {
	for {
		switch s.text[s.pos] {
		case ' ', '\t', '\r', '\n', ',', ':':
			s.pos++
		default:
			return
		}
	}
}

func (s *scanner) stringValue() []byte {
	start := s.pos
	escaped := false
	for s.pos++; s.text[s.pos] != '"'; s.pos++ {
		if s.text[s.pos] == '\\' {
			escaped = true
			s.pos++
		}
	}
	s.pos++
	raw := s.text[start:s.pos]
	if !escaped {
		return raw[1 : len(raw)-1]
	}
	var text string
	if err := json.Unmarshal(raw, &text); err != nil {
		panic(fmt.Sprintf("strictjson: invalid string in input of checked syntax: %v", err))
	}
	return []byte(text)
}

func (s *scanner) number() []byte {
	start := s.pos
	for s.pos < len(s.text) && strings.IndexByte("+-.0123456789eE", s.text[s.pos]) >= 0 {
		s.pos++
	}
	return s.text[start:s.pos]
}
