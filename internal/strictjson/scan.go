package strictjson

import (
	"encoding/json"
	"fmt"
	"strings"
)

// token is one token: a delimiter, '{', '}', '[' or ']', or a value.
type token struct {
	kind tokenKind
	text []byte // of texts, unescaped, and of numbers, as written
}

// tokenKind is a token's first byte; all numbers have numberToken.
type tokenKind byte

const (
	objectToken tokenKind = '{'
	arrayToken  tokenKind = '['
	textToken   tokenKind = '"'
	trueToken   tokenKind = 't'
	falseToken  tokenKind = 'f'
	nullToken   tokenKind = 'n'
	numberToken tokenKind = '0'
)

// scanner gives the tokens of a text that is one valid JSON value. It skips
// the commas and colons, whose places were checked with the syntax; so it does
// not repeat the check, and runs several times faster than json.Decoder.Token.
type scanner struct {
	text []byte
	pos  int
}

// more reports whether the object or array that is being read goes on.
func (s *scanner) more() bool {
	s.skipFiller()
	return s.text[s.pos] != '}' && s.text[s.pos] != ']'
}

func (s *scanner) next() token {
	s.skipFiller()
	switch c := s.text[s.pos]; c {
	case '{', '}', '[', ']':
		s.pos++
		return token{kind: tokenKind(c)}
	case '"':
		return token{textToken, s.quoted()}
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

func (s *scanner) skipFiller() {
	for {
		switch s.text[s.pos] {
		case ' ', '\t', '\r', '\n', ',', ':':
			s.pos++
		default:
			return
		}
	}
}

func (s *scanner) quoted() []byte {
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
		panic(fmt.Sprintf("strictjson: text of checked syntax: %v", err))
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
