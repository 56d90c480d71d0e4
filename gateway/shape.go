package gateway

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"reflect"
)

// shape is a fingerprint of a type's fields, their order and their types.
//
// Guard (rows-of-another-version): rows go without the names of their fields. While daemons of
// two versions run, one whose fields differ would take a value for another field's, such as a
// limit for a timeout. It reads rows of another shape from the store instead.
type shape uint64

// shapeOf is the shape of a type.
func shapeOf[T any]() shape {
	h := fnv.New64a()
	describe(h, reflect.TypeFor[T](), make(map[reflect.Type]bool))
	return shape(h.Sum64())
}

// describe writes a type's fields, and those of the types in it.
func describe(w io.Writer, t reflect.Type, seen map[reflect.Type]bool) {
	_, _ = fmt.Fprint(w, t.Kind(), " ") // a hash takes everything
	if seen[t] {
		return
	}
	seen[t] = true
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		describe(w, t.Elem(), seen)
	case reflect.Map:
		describe(w, t.Key(), seen)
		describe(w, t.Elem(), seen)
	case reflect.Struct:
		for f := range t.Fields() {
			_, _ = fmt.Fprint(w, f.Name, ":")
			describe(w, f.Type, seen)
		}
	default:
	}
}

// head is the form and the shape as they stand before rows.
func (s shape) head(f form) []byte {
	return binary.BigEndian.AppendUint64([]byte{byte(f)}, uint64(s))
}
