package strictjson

import (
	"encoding"
	"fmt"
	"reflect"
	"strconv"
	"strings"
	"sync"
	"time"
)

// plan is what the tags of one struct type say, worked out once a type.
type plan struct {
	fields []field
	byName map[string]int // index into fields
}

// maxFields is how many fields of one object decoder.object can mark as seen.
const maxFields = 64

type field struct {
	index    int // within the struct
	name     string
	optional bool
	def      *string
	rules    rules
}

// rules bound one value; a nil pointer or zero leaves it unbounded.
type rules struct {
	enum        []string
	format      string
	maxLength   int
	minimum     *float64
	above       *float64
	maximum     *float64
	minDuration *time.Duration
	maxDuration *time.Duration
	minItems    int
	maxItems    int
	readsText   bool   // the type has UnmarshalText
	element     *rules // of an array's elements: enum, format, maxLength
}

var plans sync.Map // reflect.Type to *plan

// textType is what types that read their own text implement.
var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

func readsText(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(textType)
}

func planOf(t reflect.Type) *plan {
	if p, ok := plans.Load(t); ok {
		return p.(*plan)
	}
	p := newPlan(t)
	plans.Store(t, p)
	return p
}

func newPlan(t reflect.Type) *plan {
	p := &plan{byName: make(map[string]int, t.NumField())}
	for i := range t.NumField() {
		sf := t.Field(i)
		name, options, _ := strings.Cut(sf.Tag.Get("json"), ",")
		if !sf.IsExported() || name == "-" || name == "" {
			continue
		}
		f := field{index: i, name: name, rules: newRules(sf)}
		f.optional = strings.Contains(options, "omitempty") || sf.Tag.Get("required") == "false"
		if def, ok := Default(sf.Tag); ok {
			f.def = &def
			f.optional = true
		}
		if len(p.fields) == maxFields {
			panic(fmt.Sprintf("strictjson: %s has more than %d fields", t, maxFields))
		}
		p.byName[name] = len(p.fields)
		p.fields = append(p.fields, f)
	}
	return p
}

// Default returns the value, as text, of a field that is left out.
func Default(tag reflect.StructTag) (string, bool) {
	if def, ok := tag.Lookup("default"); ok {
		return def, true
	}
	return tag.Lookup("defaultDuration")
}

func newRules(sf reflect.StructField) rules {
	r := rules{
		format:      sf.Tag.Get("format"),
		maxLength:   intTag(sf, "maxLength"),
		minimum:     floatTag(sf, "minimum"),
		above:       floatTag(sf, "exclusiveMinimum"),
		maximum:     floatTag(sf, "maximum"),
		minDuration: durationTag(sf, "minDuration"),
		maxDuration: durationTag(sf, "maxDuration"),
		minItems:    intTag(sf, "minItems"),
		maxItems:    intTag(sf, "maxItems"),
		readsText:   readsText(sf.Type),
	}
	if enum := sf.Tag.Get("enum"); enum != "" {
		r.enum = strings.Split(enum, ",")
	}
	if _, known := formats[r.format]; r.format != "" && !known {
		badTag(sf, "format", fmt.Errorf("unknown format %q", r.format))
	}
	if sf.Type.Kind() == reflect.Slice {
		r.element = &rules{
			enum:      r.enum,
			format:    r.format,
			maxLength: r.maxLength,
			readsText: readsText(sf.Type.Elem()),
		}
	}
	return r
}

func intTag(sf reflect.StructField, key string) int {
	text, ok := sf.Tag.Lookup(key)
	if !ok {
		return 0
	}
	v, err := strconv.Atoi(text)
	if err != nil {
		badTag(sf, key, err)
	}
	return v
}

func floatTag(sf reflect.StructField, key string) *float64 {
	text, ok := sf.Tag.Lookup(key)
	if !ok {
		return nil
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil {
		badTag(sf, key, err)
	}
	return &v
}

func durationTag(sf reflect.StructField, key string) *time.Duration {
	text, ok := sf.Tag.Lookup(key)
	if !ok {
		return nil
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		badTag(sf, key, err)
	}
	return &v
}

// badTag stops the process: a wrong tag is a defect of the program, which the
// first decoding of the type shows.
func badTag(sf reflect.StructField, key string, err error) {
	panic(fmt.Sprintf("strictjson: field %s: tag %s: %v", sf.Name, key, err))
}
