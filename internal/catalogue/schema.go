package catalogue

import (
	"encoding/json"
	"fmt"
	"reflect"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"github.com/hibiscuswick/hibiscuswick/internal/strictjson"
	"github.com/hibiscuswick/hibiscuswick/state/service"
)

const (
	schemaDialect = "https://json-schema.org/draft/2020-12/schema"
	defsPrefix    = "#/$defs/"

	durationPattern = `^\+?(([0-9]+(\.[0-9]*)?|\.[0-9]+)(ns|us|µs|μs|ms|s|m|h))+$|^\+?0$`
)

var durationType = reflect.TypeFor[service.Duration]()

// schemaFile is the layout of a published JSON Schema.
type schemaFile struct {
	Dialect string                  `json:"$schema"`
	Title   string                  `json:"title"`
	Ref     string                  `json:"$ref"`
	Defs    map[string]*huma.Schema `json:"$defs"`
}

// schemaJSON returns the JSON Schema of the struct type t. huma reads the tags that it
// shares with strictjson; annotate adds comments and formats.
func schemaJSON(t reflect.Type, title string, c comments) []byte {
	huma.DefaultArrayNullable = false // strictjson rejects null
	registry := huma.NewMapRegistry(defsPrefix, huma.DefaultSchemaNamer)
	top := huma.SchemaFromType(registry, t)
	ref := registry.Schema(t, true, t.Name())
	if top.Ref == "" && ref.Ref == "" {
		panic(fmt.Sprintf("catalogue: %s has no schema of its own", t))
	}
	for name, s := range registry.Map() {
		annotate(registry.TypeFromRef(defsPrefix+name), s, c)
	}
	text, err := json.MarshalIndent(schemaFile{schemaDialect, title, ref.Ref, registry.Map()}, "", "  ")
	if err != nil {
		panic(fmt.Sprintf("catalogue: schema of %s: %v", t, err))
	}
	return append(text, '\n')
}

// annotate adds to the schema of t what huma does not read from the tags.
func annotate(t reflect.Type, s *huma.Schema, c comments) {
	s.Description = c[t.Name()]
	for i := range t.NumField() {
		f := t.Field(i)
		property := s.Properties[jsonName(f)]
		if property == nil {
			continue
		}
		property.Description = c[t.Name()+"."+f.Name]
		if format := f.Tag.Get("format"); format != "" {
			property.Format = ""
			target := property
			if property.Items != nil {
				target = property.Items
			}
			target.Pattern = strictjson.Formats()[format].Pattern
		}
		if f.Type == durationType {
			property.Pattern = durationPattern
			if def, ok := strictjson.Default(f.Tag); ok {
				property.Default = def
			}
		}
		if _, ok := strictjson.Default(f.Tag); ok {
			s.Required = lo.Without(s.Required, jsonName(f))
		}
	}
}
