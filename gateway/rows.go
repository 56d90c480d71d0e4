package gateway

import (
	"errors"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuswick/hibiscuswick/coordination/following"
	"github.com/hibiscuswick/hibiscuswick/protocol/site"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// encodedRows are rows of a feed on their way to other daemons.
type encodedRows struct {
	after uint64 // the revision after which they are all that changed
	upTo  uint64 // until this one
	bytes []byte
}

// attach puts the rows into a word, unless the feed has changed again since they were
// encoded: who took them for all up to the word's revision would miss that change.
func (r encodedRows) attach(t *following.Told) {
	if len(r.bytes) > 0 && r.upTo == t.Changed {
		t.After, t.Rows = r.after, r.bytes
	}
}

// wireItem is a site.Item between daemons.
type wireItem[T any] struct {
	Key        string `msgpack:"key"`
	Removed    bool   `msgpack:"removed,omitempty"`
	Revision   uint64 `msgpack:"revision"`
	Value      T      `msgpack:"value"`
	Unreadable string `msgpack:"unreadable,omitempty"` // why there is no value
}

// encode writes rows. Where that fails the others read them from the store.
func (p *feedPart[T]) encode(items []site.Item[T], after, upTo uint64) encodedRows {
	wire := make([]wireItem[T], len(items))
	for i, it := range items {
		wire[i] = wireItem[T]{Key: it.Key, Removed: it.Removed, Revision: it.Revision, Value: it.Value}
		if it.Err != nil {
			wire[i].Unreadable = it.Err.Error()
		}
	}
	b, err := msgpack.Marshal(wire)
	if err != nil {
		p.c.g.log.Emit(telemetry.EventRowsUnreadable, telemetry.Peer(p.c.g.self.ID), telemetry.Cause(err))
		return encodedRows{}
	}
	return encodedRows{after: after, upTo: upTo, bytes: b}
}

// decode reads what encode wrote.
func decode[T any](b []byte) ([]site.Item[T], error) {
	var wire []wireItem[T]
	if err := msgpack.Unmarshal(b, &wire); err != nil {
		return nil, err
	}
	items := make([]site.Item[T], len(wire))
	for i, w := range wire {
		items[i] = site.Item[T]{Key: w.Key, Removed: w.Removed, Revision: w.Revision, Value: w.Value}
		if w.Unreadable != "" {
			items[i].Err = errors.New(w.Unreadable)
		}
	}
	return items, nil
}
