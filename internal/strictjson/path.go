package strictjson

import (
	"fmt"
	"strconv"
	"strings"
	"unicode"
)

// path is the decoder's position in the input. It is formatted only for a fault, so
// that an input without faults does not pay for it.
type path struct {
	steps []step
}

// step is one element of a path: a field, or an array element if it has no name.
type step struct {
	name    string
	index   int
	unknown bool // the field is in the input but not in the struct
}

func (p *path) push(s step) {
	p.steps = append(p.steps, s)
}

func (p *path) pop() {
	p.steps = p.steps[:len(p.steps)-1]
}

// String returns a path such as "classes[1].deadline", or Root.
func (p *path) String() string {
	if len(p.steps) == 0 {
		return Root
	}
	var b strings.Builder
	for i, s := range p.steps {
		switch {
		case s.unknown && !isPlainName(s.name):
			// Quoted, so that each fault stays on one line.
			fmt.Fprintf(&b, "[%q]", truncate(s.name))
		case s.unknown || s.name != "":
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

// isPlainName reports whether a name needs no quotes in a path.
func isPlainName(name string) bool {
	if name == "" || len(name) > maxQuotedBytes {
		return false
	}
	for _, r := range name {
		if r != '_' && !unicode.IsLetter(r) && !unicode.IsDigit(r) {
			return false
		}
	}
	return true
}
