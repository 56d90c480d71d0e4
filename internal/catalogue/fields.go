package catalogue

import (
	"bytes"
	"cmp"
	"fmt"
	"reflect"
	"strings"

	"github.com/hibiscuswick/hibiscuswick/internal/strictjson"
)

const generatedNote = "\n<!-- Generated from the code by `go generate ./internal/catalogue`; do not edit. -->\n"

const serviceIntro = `# Service documents
` + generatedNote + `
A team describes its service in one JSON document. It is decoded strictly: unknown,
missing and duplicate fields, wrong types or units and invalid values are all reported
at once, each with its path. ` + "`hibiscusctl validate FILE`" + ` lists them (exit code 2).
` + "`docs/schema/service.schema.json`" + ` is the JSON Schema. It can't express the rules
between fields, so a document that it accepts may still be refused. Examples are in
` + "`examples/`" + `.

Durations are strings with a unit, such as "250ms", "5s" or "10m".

Rules between fields:

- ` + "`model`" + ` is set if and only if ` + "`kind`" + ` is "model"; then each class has ` + "`max_tokens`" + `.
- With ` + "`placement.mode`" + ` "fixed" the chains are listed, at least ` + "`capacity.replicas`" + ` of
  them. Each chain holds the layers from 0 to ` + "`model.layers`" + ` once, in order; a plain
  service's chain has one stage without layers. A backend server belongs to one stage.
- With "auto" there are no chains, and each of ` + "`backend_kinds`" + ` has ` + "`memory_layers`" + `.
- Names of classes, customers, chains, adapters and kinds are unique.
- All classes together reserve fewer slots than ` + "`capacity.slots_per_replica`" + `.
`

const settingsIntro = `# Settings of one daemon
` + generatedNote + `
` + "`hibiscusd run --settings FILE`" + ` reads the settings of one daemon from a JSON file, and
` + "`hibiscusd check --settings FILE`" + ` only checks it. It is decoded strictly: unknown, missing
and duplicate fields, wrong types or units and invalid values are all reported at once,
each with its path (exit code 2). Addresses hold IP numbers; host names are not
resolved. ` + "`docs/schema/settings.schema.json`" + ` is the JSON Schema. Settings apply as long as
the process runs; what operators change at run time is in service documents.

Durations are strings with a unit, such as "250ms", "5s" or "10m".

Rules between fields:

- An advertised address must be one that can be connected to: not "0.0.0.0", and with an
  explicit port where it differs from the address listened on.
- ` + "`peer_address`" + ` and ` + "`caller_address`" + ` differ.
- ` + "`peers.probe_timeout`" + ` is below ` + "`peers.probe_interval`" + `, and ` + "`peers.silent_after`" + ` above
  ` + "`peers.heartbeat_interval`" + `.
- ` + "`drain.limit`" + ` is above the sum of ` + "`address_answer_valid`" + ` and ` + "`drain.notice`" + `.
`

// fieldsPage returns the page that lists the fields of t by their paths.
func fieldsPage(intro string, t reflect.Type, c comments) []byte {
	var b bytes.Buffer
	b.WriteString(intro)
	b.WriteString("\n| field | type | default | allowed | meaning |\n|---|---|---|---|---|\n")
	writeFields(&b, "", t, c)
	return b.Bytes()
}

func writeFields(b *bytes.Buffer, path string, t reflect.Type, c comments) {
	for i := range t.NumField() {
		f := t.Field(i)
		at := strictjson.Member(path, jsonName(f))
		meaning := cmp.Or(c[t.Name()+"."+f.Name], "The "+strings.ReplaceAll(jsonName(f), "_", " ")+".")
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s |\n", at, typeName(f.Type), defaultText(f), constraints(f.Tag), meaning)
		switch inner := f.Type; {
		case inner.Kind() == reflect.Struct:
			writeFields(b, at, inner, c)
		case inner.Kind() == reflect.Pointer:
			writeFields(b, at, inner.Elem(), c)
		case inner.Kind() == reflect.Slice && inner.Elem().Kind() == reflect.Struct:
			writeFields(b, at+"[]", inner.Elem(), c)
		}
	}
}

func jsonName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func typeName(t reflect.Type) string {
	switch {
	case t == durationType:
		return "duration"
	case t.Kind() == reflect.String:
		return "string"
	case t.Kind() == reflect.Bool:
		return "boolean"
	case t.Kind() == reflect.Slice:
		return "array"
	case t.Kind() == reflect.Struct, t.Kind() == reflect.Pointer:
		return "object"
	case t.Kind() == reflect.Float64:
		return "number"
	default:
		return "integer"
	}
}

func defaultText(f reflect.StructField) string {
	if def, ok := strictjson.Default(f.Tag); ok {
		return def
	}
	if strings.Contains(f.Tag.Get("json"), ",omitempty") || f.Tag.Get("required") == "false" {
		return "optional"
	}
	return "required"
}

// constraints describes the constraints of the tags in words.
func constraints(tag reflect.StructTag) string {
	var parts []string
	for _, rule := range []struct{ key, words string }{
		{"enum", "one of %s"},
		{"format", "%s"},
		{"exclusiveMinimum", "above %s"},
		{"minimum", "from %s"},
		{"minDuration", "from %s"},
		{"maximum", "to %s"},
		{"maxDuration", "to %s"},
		{"minItems", "at least %s"},
		{"maxItems", "at most %s"},
		{"maxLength", "at most %s bytes"},
	} {
		v, ok := tag.Lookup(rule.key)
		if !ok {
			continue
		}
		if rule.key == "enum" {
			v = strings.ReplaceAll(v, ",", ", ")
		}
		if rule.key == "format" {
			v = strings.TrimPrefix(strictjson.Formats()[v].Requirement, "must be ")
		}
		parts = append(parts, fmt.Sprintf(rule.words, v))
	}
	return strings.Join(parts, ", ")
}
