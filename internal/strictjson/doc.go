// Package strictjson decodes JSON text into plain structs and reports every
// fault of the text at once, each by its path, such as "classes[1].deadline".
//
// It refuses what encoding/json lets pass: unknown fields, names that differ in
// case, duplicate keys, null, data after the value, numbers out of range, and
// missing fields. Rules stand in the tags of the struct's fields:
//
//	json              the field's name; "omitempty" makes it optional
//	required:"false"  optional; the field keeps its zero value where absent
//	default, defaultDuration             optional; the value where absent
//	enum              the allowed texts, separated by commas
//	format            one of Formats
//	maxLength         of a text, in bytes
//	minimum, exclusiveMinimum, maximum   of a number
//	minDuration, maxDuration             of a duration, such as "10ms"
//	minItems, maxItems                   of an array
//
// Fields may be structs, pointers to structs, slices, texts, booleans, numbers
// and types with UnmarshalText. The tags are those that huma reads, so that a
// JSON Schema made from the same struct states the same rules.
package strictjson
