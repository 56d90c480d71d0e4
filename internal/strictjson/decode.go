package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"unicode/utf8"
)

// Decode reads text, of at most limit bytes, into out, a pointer to a struct,
// and returns every fault found. With faults, out holds what could be read.
//
// A text that is not JSON has one fault, since nothing after a syntax error can
// be told apart.
func Decode(text []byte, limit int, out any) []Fault {
	if f := checkSyntax(text, limit); f != nil {
		return []Fault{*f}
	}
	d := decoder{tokens: scanner{text: text}}
	d.value(reflect.ValueOf(out).Elem(), &rules{})
	return d.report.all()
}

// checkSyntax returns the fault of a text that is too long, not UTF-8 or not
// exactly one JSON value.
func checkSyntax(text []byte, limit int) *Fault {
	if len(text) > limit {
		f := Faultf(Root, "has %d bytes, at most %d are allowed", len(text), limit)
		return &f
	}
	if !utf8.Valid(text) {
		f := Faultf(Root, "is not UTF-8 text")
		return &f
	}
	if json.Valid(text) {
		return nil
	}
	var raw json.RawMessage
	err := json.Unmarshal(text, &raw) // says what is wrong, and where
	f := Faultf(Root, "is not JSON: %v%s", err, position(text, err))
	return &f
}

// position gives the line and column of a syntax error, counted from 1.
func position(text []byte, err error) string {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return ""
	}
	before := text[:min(max(int(syntax.Offset)-1, 0), len(text))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Sprintf(" (line %d, column %d)", line, column)
}

// decoder walks the tokens of a text whose syntax was checked before.
type decoder struct {
	tokens scanner
	path   path // of the value that is being read
	report report
}

func (d *decoder) faultf(format string, args ...any) {
	d.report.add(d.path.String(), format, args...)
}

// value reads the next value into v.
func (d *decoder) value(v reflect.Value, r *rules) {
	t := d.tokens.next()
	switch {
	case v.Kind() == reflect.Pointer:
		if t.kind == objectToken {
			v.Set(reflect.New(v.Type().Elem()))
			d.object(v.Elem())
			return
		}
		d.wrongType(t, "an object")
	case r.readsText:
		d.text(t, v, r)
	case v.Kind() == reflect.Struct:
		if t.kind == objectToken {
			d.object(v)
			return
		}
		d.wrongType(t, "an object")
	case v.Kind() == reflect.Slice:
		if t.kind == arrayToken {
			d.array(v, r)
			return
		}
		d.wrongType(t, "an array")
	default:
		d.scalar(t, v, r)
	}
}

// object reads the fields of an object whose '{' was read.
func (d *decoder) object(v reflect.Value) {
	p := planOf(v.Type())
	var seen uint64 // bit i stands for p.fields[i]
	var unknown map[string]bool
	for d.tokens.more() {
		name := d.tokens.next().text
		i, known := p.byName[string(name)]
		if !known {
			if unknown == nil {
				unknown = map[string]bool{}
			}
			d.unknownField(string(name), unknown[string(name)])
			unknown[string(name)] = true
			continue
		}
		d.path.push(step{name: p.fields[i].name})
		if seen&(1<<i) != 0 {
			d.faultf("stands twice")
			d.skip(d.tokens.next())
		} else {
			d.value(v.Field(p.fields[i].index), &p.fields[i].rules)
		}
		seen |= 1 << i
		d.path.pop()
	}
	d.tokens.next() // '}'
	for i, f := range p.fields {
		if seen&(1<<i) == 0 {
			d.absent(v.Field(f.index), f)
		}
	}
}

func (d *decoder) unknownField(name string, again bool) {
	d.path.push(step{name: name, foreign: true})
	if again {
		d.faultf("stands twice")
	} else {
		d.faultf("is not a known field")
	}
	d.path.pop()
	d.skip(d.tokens.next())
}

// absent gives a field that the text leaves out its default, or reports it.
func (d *decoder) absent(v reflect.Value, f field) {
	d.path.push(step{name: f.name})
	defer d.path.pop()
	switch {
	case f.def != nil:
		setDefault(v, *f.def)
	case !f.optional:
		d.faultf("is missing")
	case v.Kind() == reflect.Struct && !f.rules.readsText:
		// An optional object that is left out has its fields' defaults.
		for _, inner := range planOf(v.Type()).fields {
			d.absent(v.Field(inner.index), inner)
		}
	}
}

// array reads the elements of an array whose '[' was read. An empty array
// reads as nil. Elements past maxItems are counted, not kept.
func (d *decoder) array(v reflect.Value, r *rules) {
	n := 0
	for ; d.tokens.more(); n++ {
		if r.maxItems > 0 && n >= r.maxItems {
			d.skip(d.tokens.next())
			continue
		}
		if n == v.Cap() {
			v.Grow(max(n, 1))
		}
		v.SetLen(n + 1)
		d.path.push(step{index: n})
		d.value(v.Index(n), r.element)
		d.path.pop()
	}
	d.tokens.next() // ']'
	if r.maxItems > 0 && n > r.maxItems {
		d.faultf("has %d elements, at most %d are allowed", n, r.maxItems)
	}
	if n < r.minItems {
		d.faultf("has %d elements, at least %d are needed", n, r.minItems)
	}
}

// skip reads on to the end of the value that begins with t.
func (d *decoder) skip(t token) {
	depth := 0
	for {
		switch t.kind {
		case '{', '[':
			depth++
		case '}', ']':
			depth--
		default:
		}
		if depth == 0 {
			return
		}
		t = d.tokens.next()
	}
}

// wrongType reports a value of another JSON type than wanted and skips it.
func (d *decoder) wrongType(t token, want string) {
	d.faultf("is %s, must be %s", typeName(t), want)
	d.skip(t)
}

func typeName(t token) string {
	switch t.kind {
	case nullToken:
		return "null"
	case trueToken, falseToken:
		return "a boolean"
	case numberToken:
		return "a number"
	case textToken:
		return "a text"
	case arrayToken:
		return "an array"
	default:
		return "an object"
	}
}
