package gateway

import (
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"io"
	"reflect"
)

// layoutHash is a hash of a type's fields, their order and their types.
//
// Guard (rows-of-another-version): rows are encoded without the names of their fields.
// While daemons of two versions run, a daemon whose type has other fields would take one
// field's value for another's, such as a limit for a timeout. It reads rows with another
// layout hash from the store instead.
type layoutHash uint64

// layoutHashOf returns the layout hash of a type.
func layoutHashOf[T any]() layoutHash {
	h := fnv.New64a()
	hashLayout(h, reflect.TypeFor[T](), make(map[reflect.Type]bool))
	return layoutHash(h.Sum64())
}

// hashLayout writes a type's fields, and those of the types in it, to w.
func hashLayout(w io.Writer, t reflect.Type, seen map[reflect.Type]bool) {
	_, _ = fmt.Fprint(w, t.Kind(), " ") // writing to a hash never fails
	if seen[t] {
		return
	}
	seen[t] = true
	switch t.Kind() {
	case reflect.Pointer, reflect.Slice, reflect.Array:
		hashLayout(w, t.Elem(), seen)
	case reflect.Map:
		hashLayout(w, t.Key(), seen)
		hashLayout(w, t.Elem(), seen)
	case reflect.Struct:
		for f := range t.Fields() {
			_, _ = fmt.Fprint(w, f.Name, ":")
			hashLayout(w, f.Type, seen)
		}
	default:
	}
}

// header returns the encoding and the layout hash that precede the rows.
func (h layoutHash) header(encoding rowEncoding) []byte {
	return binary.BigEndian.AppendUint64([]byte{byte(encoding)}, uint64(h))
}
