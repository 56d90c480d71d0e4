package strictjson

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"unicode/utf8"
)

// Decode decodes text, of at most limit bytes, into out, a pointer to a struct,
// and returns all faults found. With faults, out holds the values that were valid.
//
// An input that is not valid JSON yields a single fault, since nothing after a syntax
// error can be interpreted reliably.
func Decode(text []byte, limit int, out any) []Fault {
	if f := checkSyntax(text, limit); f != nil {
		return []Fault{*f}
	}
	d := decoder{tokens: scanner{text: text}}
	d.value(reflect.ValueOf(out).Elem(), &rules{})
	return d.faults.all()
}

// checkSyntax returns the fault of an input that is too long, not UTF-8 or not
// exactly one JSON value, or nil.
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
	err := json.Unmarshal(text, &raw) // for the error message and position
	f := Faultf(Root, "is not JSON: %v%s", err, position(text, err))
	return &f
}

// position returns the line and column of a syntax error, both counted from 1.
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

// decoder decodes the tokens of an input whose syntax has been checked.
type decoder struct {
	tokens scanner
	path   path // of the current value
	faults faultList
}

func (d *decoder) faultf(format string, args ...any) {
	d.faults.add(d.path.String(), format, args...)
}

// value decodes the next value into v.
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

// object decodes the fields of an object after its '{'.
func (d *decoder) object(v reflect.Value) {
	p := structPlanOf(v.Type())
	var seen uint64 // bit i is set for p.fields[i]
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
			d.missingField(v.Field(f.index), f)
		}
	}
}

func (d *decoder) unknownField(name string, again bool) {
	d.path.push(step{name: name, unknown: true})
	if again {
		d.faultf("stands twice")
	} else {
		d.faultf("is not a known field")
	}
	d.path.pop()
	d.skip(d.tokens.next())
}

// missingField sets a field that is absent from the input to its default, or reports
// it as missing.
func (d *decoder) missingField(v reflect.Value, f field) {
	d.path.push(step{name: f.name})
	defer d.path.pop()
	switch {
	case f.defaultText != nil:
		setDefault(v, *f.defaultText)
	case !f.optional:
		d.faultf("is missing")
	case v.Kind() == reflect.Struct && !f.rules.readsText:
		// An absent optional object takes the defaults of its fields.
		for _, inner := range structPlanOf(v.Type()).fields {
			d.missingField(v.Field(inner.index), inner)
		}
	}
}

// array decodes the elements of an array after its '['. An empty array yields nil.
// Elements beyond maxItems are counted but not stored.
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

// skip consumes the rest of the value that begins with t.
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

// wrongType reports a value of an unexpected JSON type and skips it.
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
	case stringToken:
		return "a text"
	case arrayToken:
		return "an array"
	default:
		return "an object"
	}
}
