package strictjson

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"
)

// path is where the decoder stands. It becomes text only for a fault, so that
// a text without faults costs nothing for it.
type path struct {
	steps []step
}

// step leads into a field, or, without a name, into an array's element.
type step struct {
	name    string
	index   int
	foreign bool // the text named the field, not the struct
}

func (p *path) push(s step) {
	p.steps = append(p.steps, s)
}

func (p *path) pop() {
	p.steps = p.steps[:len(p.steps)-1]
}

// String gives text such as "classes[1].deadline", or Root.
func (p *path) String() string {
	if len(p.steps) == 0 {
		return Root
	}
	var b strings.Builder
	for i, s := range p.steps {
		switch {
		case s.foreign && !isPlain(s.name):
			// Quoted, so that a report stays one line a fault.
			fmt.Fprintf(&b, "[%q]", shorten(s.name))
		case s.foreign || s.name != "":
			if i > 0 {
				b.WriteByte('.')
			}
			b.WriteString(s.name)
		default:
			b.WriteByte('[')
			b.WriteString(strconv.Itoa(s.index))
			b.WriteByte(']')
		}
	}
	return b.String()
}

// isPlain reports whether a name can stand in a path without quotes.
func isPlain(name string) bool {
	if name == "" || len(name) > maxQuoted {
		return false
	}
	for _, r := range name {
		if r != '_' && !unicode.IsLetter(r) && !unicode.IsDigit(r) {
			return false
		}
	}
	return true
}
