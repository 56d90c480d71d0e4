// Package strictjson decodes JSON into plain structs and reports all faults of the
// input at once, each with its path, such as "classes[1].deadline".
//
// It rejects what encoding/json accepts: unknown fields, names that differ in case,
// duplicate keys, null, data after the value, numbers out of range, and missing
// fields. Further rules are given by the tags of the struct's fields:
//
//	json              the field's name; "omitempty" makes it optional
//	required:"false"  optional; the field keeps its zero value where absent
//	default, defaultDuration             optional; the value where absent
//	enum              the allowed strings, separated by commas
//	format            one of Formats
//	maxLength         of a string, in bytes
//	minimum, exclusiveMinimum, maximum   of a number
//	minDuration, maxDuration             of a duration, such as "10ms"
//	minItems, maxItems                   of an array
//
// Fields may be structs, pointers to structs, slices, strings, booleans, numbers
// and types that implement encoding.TextUnmarshaler. The tags are those that huma
// reads, so that a JSON Schema generated from the same struct has the same rules.
package strictjson
