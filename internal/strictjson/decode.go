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
	d := decoder{tokens: json.NewDecoder(bytes.NewReader(text))}
	d.tokens.UseNumber()
	d.value("", reflect.ValueOf(out).Elem(), rules{})
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
	var raw json.RawMessage
	err := json.Unmarshal(text, &raw)
	if err == nil {
		return nil
	}
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

// decoder walks the tokens of a text whose syntax was checked before, so that
// reading a token can't fail.
type decoder struct {
	tokens *json.Decoder
	report report
}

func (d *decoder) next() json.Token {
	t, err := d.tokens.Token()
	if err != nil {
		panic(fmt.Sprintf("strictjson: token of checked text: %v", err))
	}
	return t
}

// value reads the next value into v.
func (d *decoder) value(path string, v reflect.Value, r rules) {
	t := d.next()
	switch {
	case v.Kind() == reflect.Pointer:
		if t == json.Delim('{') {
			v.Set(reflect.New(v.Type().Elem()))
			d.object(path, v.Elem())
			return
		}
		d.wrongType(path, t, "an object")
	case v.Addr().Type().Implements(textType):
		d.text(path, t, v, r)
	case v.Kind() == reflect.Struct:
		if t == json.Delim('{') {
			d.object(path, v)
			return
		}
		d.wrongType(path, t, "an object")
	case v.Kind() == reflect.Slice:
		if t == json.Delim('[') {
			d.array(path, v, r)
			return
		}
		d.wrongType(path, t, "an array")
	default:
		d.scalar(path, t, v, r)
	}
}

// object reads the fields of an object whose '{' was read.
func (d *decoder) object(path string, v reflect.Value) {
	p := planOf(v.Type())
	seen := make([]bool, len(p.fields))
	unknown := map[string]bool{}
	for d.tokens.More() {
		name := d.next().(string)
		i, known := p.byName[name]
		at := Member(path, name)
		if !known {
			at = foreignMember(path, name)
			if unknown[name] {
				d.report.add(at, "stands twice")
			} else {
				d.report.add(at, "is not a known field")
			}
			unknown[name] = true
			d.skip(d.next())
			continue
		}
		if seen[i] {
			d.report.add(at, "stands twice")
			d.skip(d.next())
			continue
		}
		seen[i] = true
		d.value(at, v.Field(p.fields[i].index), p.fields[i].rules)
	}
	d.next() // '}'
	for i, f := range p.fields {
		if !seen[i] {
			d.absent(Member(path, f.name), v.Field(f.index), f)
		}
	}
}

// absent gives a field that the text leaves out its default, or reports it.
func (d *decoder) absent(path string, v reflect.Value, f field) {
	switch {
	case f.def != nil:
		setDefault(v, *f.def)
	case !f.optional:
		d.report.add(path, "is missing")
	case v.Kind() == reflect.Struct && !v.Addr().Type().Implements(textType):
		// An optional object that is left out has its fields' defaults.
		for _, inner := range planOf(v.Type()).fields {
			d.absent(Member(path, inner.name), v.Field(inner.index), inner)
		}
	}
}

// array reads the elements of an array whose '[' was read. An empty array
// reads as nil. Elements past maxItems are counted, not kept.
func (d *decoder) array(path string, v reflect.Value, r rules) {
	element := rules{}
	if r.elementRules != nil {
		element = *r.elementRules
	}
	n := 0
	for ; d.tokens.More(); n++ {
		if r.maxItems > 0 && n >= r.maxItems {
			d.skip(d.next())
			continue
		}
		e := reflect.New(v.Type().Elem()).Elem()
		d.value(Item(path, n), e, element)
		v.Set(reflect.Append(v, e))
	}
	d.next() // ']'
	if r.maxItems > 0 && n > r.maxItems {
		d.report.add(path, "has %d elements, at most %d are allowed", n, r.maxItems)
	}
	if n < r.minItems {
		d.report.add(path, "has %d elements, at least %d are needed", n, r.minItems)
	}
}

// skip reads on to the end of the value that begins with t.
func (d *decoder) skip(t json.Token) {
	depth := 0
	for {
		switch t {
		case json.Delim('{'), json.Delim('['):
			depth++
		case json.Delim('}'), json.Delim(']'):
			depth--
		}
		if depth == 0 {
			return
		}
		t = d.next()
	}
}

// wrongType reports a value of another JSON type than wanted and skips it.
func (d *decoder) wrongType(path string, t json.Token, want string) {
	if path == "" {
		path = Root
	}
	d.report.add(path, "is %s, must be %s", typeName(t), want)
	d.skip(t)
}

func typeName(t json.Token) string {
	switch t := t.(type) {
	case nil:
		return "null"
	case bool:
		return "a boolean"
	case json.Number:
		return "a number"
	case string:
		return "a text"
	case json.Delim:
		if t == '[' {
			return "an array"
		}
	}
	return "an object"
}
