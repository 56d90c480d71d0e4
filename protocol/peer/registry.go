package peer

import (
	"fmt"
	"reflect"
)

// Registry maps message kinds to Go types. Both ends of a connection must
// register the same types under the same numbers. It must be complete before it
// is used, and is read-only after that.
type Registry struct {
	kinds    map[reflect.Type]Kind
	decoders map[Kind]func(body []byte) (any, error)
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	return &Registry{
		kinds:    make(map[reflect.Type]Kind),
		decoders: make(map[Kind]func([]byte) (any, error)),
	}
}

// Register adds the message type T, a struct with msgpack tags, under k. It
// panics on kind 0 and if the kind or the type is already registered, which is a
// programming error.
func Register[T any](r *Registry, k Kind) {
	t := reflect.TypeFor[T]()
	if _, ok := r.kinds[t]; ok || k == 0 {
		panic(fmt.Sprintf("peer: %v can't be registered as kind %d", t, k))
	}
	if _, ok := r.decoders[k]; ok {
		panic(fmt.Sprintf("peer: kind %d is already registered, %v needs another", k, t))
	}
	r.kinds[t] = k
	r.decoders[k] = func(body []byte) (any, error) {
		var v T
		err := DecodeBody(body, &v)
		return v, err
	}
}

// KindOf returns the kind of msg, a struct value. The second result is false if
// its type is not registered.
func (r *Registry) KindOf(msg any) (Kind, bool) {
	k, ok := r.kinds[reflect.TypeOf(msg)]
	return k, ok
}

// Decode decodes the message of a frame and returns it as a struct value. The
// error is a *FrameError.
func (r *Registry) Decode(e Envelope) (any, error) {
	decode, ok := r.decoders[e.Kind]
	if !ok {
		return nil, newFrameError(FaultKind, "kind %d is not registered", e.Kind)
	}
	return decode(e.Body)
}
