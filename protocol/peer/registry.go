package peer

import (
	"fmt"
	"reflect"
)

// Registry maps message kinds to Go types. Both ends of a connection register
// the same types under the same numbers. It is filled before use and then only
// read.
type Registry struct {
	kinds   map[reflect.Type]Kind
	decoder map[Kind]func(body []byte) (any, error)
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	return &Registry{
		kinds:   make(map[reflect.Type]Kind),
		decoder: make(map[Kind]func([]byte) (any, error)),
	}
}

// Register adds the message type T, a struct with msgpack tags, under k. It
// panics on kind 0 and on a kind or type that is taken: a defect of the program
// that no message may meet.
func Register[T any](r *Registry, k Kind) {
	t := reflect.TypeFor[T]()
	if _, ok := r.kinds[t]; ok || k == 0 {
		panic(fmt.Sprintf("peer: %v can't be registered as kind %d", t, k))
	}
	if _, ok := r.decoder[k]; ok {
		panic(fmt.Sprintf("peer: kind %d is taken, %v needs another", k, t))
	}
	r.kinds[t] = k
	r.decoder[k] = func(body []byte) (any, error) {
		var v T
		err := DecodeBody(body, &v)
		return v, err
	}
}

// KindOf returns the kind of msg, a struct value.
func (r *Registry) KindOf(msg any) (Kind, bool) {
	k, ok := r.kinds[reflect.TypeOf(msg)]
	return k, ok
}

// Decode returns the message, a struct value, of a frame. The error is a
// *FrameError.
func (r *Registry) Decode(e Envelope) (any, error) {
	decode, ok := r.decoder[e.Kind]
	if !ok {
		return nil, fault(FaultKind, "kind %d is not registered", e.Kind)
	}
	return decode(e.Body)
}
