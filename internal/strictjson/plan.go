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

// structPlan holds the parsed tags of one struct type. It is built once per type.
type structPlan struct {
	fields []field
	byName map[string]int // index into fields
}

// maxFields is the number of fields that decoder.object can mark as seen in a uint64.
const maxFields = 64

type field struct {
	index       int // within the struct
	name        string
	optional    bool
	defaultText *string
	rules       rules
}

// rules are the constraints of one value. A nil pointer or a zero value means no
// constraint.
type rules struct {
	enum             []string
	format           string
	maxLength        int
	minimum          *float64
	exclusiveMinimum *float64
	maximum          *float64
	minDuration      *time.Duration
	maxDuration      *time.Duration
	minItems         int
	maxItems         int
	readsText        bool   // the type has UnmarshalText
	element          *rules // constraints of an array's elements: enum, format, maxLength
}

var plans sync.Map // reflect.Type to *plan

// textType is the interface of types that decode their own text.
var textType = reflect.TypeFor[encoding.TextUnmarshaler]()

func readsText(t reflect.Type) bool {
	return reflect.PointerTo(t).Implements(textType)
}

func structPlanOf(t reflect.Type) *structPlan {
	if p, ok := plans.Load(t); ok {
		return p.(*structPlan)
	}
	p := newPlan(t)
	plans.Store(t, p)
	return p
}

func newPlan(t reflect.Type) *structPlan {
	p := &structPlan{byName: make(map[string]int, t.NumField())}
	for i := range t.NumField() {
		sf := t.Field(i)
		name, options, _ := strings.Cut(sf.Tag.Get("json"), ",")
		if !sf.IsExported() || name == "-" || name == "" {
			continue
		}
		f := field{index: i, name: name, rules: newRules(sf)}
		f.optional = strings.Contains(options, "omitempty") || sf.Tag.Get("required") == "false"
		if def, ok := Default(sf.Tag); ok {
			f.defaultText = &def
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

// Default returns the default value in a field's tag, as text, and whether there is one.
func Default(tag reflect.StructTag) (string, bool) {
	if def, ok := tag.Lookup("default"); ok {
		return def, true
	}
	return tag.Lookup("defaultDuration")
}

func newRules(sf reflect.StructField) rules {
	r := rules{
		format:           sf.Tag.Get("format"),
		maxLength:        intTag(sf, "maxLength"),
		minimum:          floatTag(sf, "minimum"),
		exclusiveMinimum: floatTag(sf, "exclusiveMinimum"),
		maximum:          floatTag(sf, "maximum"),
		minDuration:      durationTag(sf, "minDuration"),
		maxDuration:      durationTag(sf, "maxDuration"),
		minItems:         intTag(sf, "minItems"),
		maxItems:         intTag(sf, "maxItems"),
		readsText:        readsText(sf.Type),
	}
	if enum := sf.Tag.Get("enum"); enum != "" {
		r.enum = strings.Split(enum, ",")
	}
	if _, known := formats[r.format]; r.format != "" && !known {
		panicBadTag(sf, "format", fmt.Errorf("unknown format %q", r.format))
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
		panicBadTag(sf, key, err)
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
		panicBadTag(sf, key, err)
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
		panicBadTag(sf, key, err)
	}
	return &v
}

// panicBadTag panics, since an invalid tag is a programming error. It shows with the
// first decoding of the type.
func panicBadTag(sf reflect.StructField, key string, err error) {
	panic(fmt.Sprintf("strictjson: field %s: tag %s: %v", sf.Name, key, err))
}
