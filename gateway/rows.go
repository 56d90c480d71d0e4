package gateway

import (
	"bytes"
	"compress/flate"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/hibiscuswick/hibiscuswick/coordination/following"
	"github.com/hibiscuswick/hibiscuswick/protocol/peer"
	"github.com/hibiscuswick/hibiscuswick/protocol/site"
	"github.com/hibiscuswick/hibiscuswick/telemetry"
)

// encodedRows are rows of a feed on their way to other daemons.
type encodedRows struct {
	after uint64 // the revision after which they are all that changed
	upTo  uint64 // until this one
	bytes []byte
}

// attach puts the rows into an announcement, unless the feed has changed again since they were
// encoded: who took them for all up to the announcement's revision would miss that change.
func (r encodedRows) attach(t *following.Announcement) {
	if len(r.bytes) > 0 && r.upTo == t.LastChange {
		t.RowsAfter, t.Rows = r.after, r.bytes
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
	b, err := pack(shapeOf[T](), wire)
	if err != nil {
		p.c.g.log.Emit(telemetry.EventRowsUnreadable, telemetry.Peer(p.c.g.self.ID), telemetry.Cause(err))
		return encodedRows{}
	}
	return encodedRows{after: after, upTo: upTo, bytes: b}
}

// decode reads what encode wrote.
func decode[T any](b []byte) ([]site.Item[T], error) {
	plain, err := unpack(shapeOf[T](), b)
	if err != nil {
		return nil, err
	}
	dec := msgpack.NewDecoder(bytes.NewReader(plain))
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return nil, err
	}
	if n < 0 || n > mostRows {
		return nil, fmt.Errorf("%w: %d", errRows, n)
	}
	items := make([]site.Item[T], n)
	for i := range items {
		var w wireItem[T]
		if err := dec.Decode(&w); err != nil {
			return nil, fmt.Errorf("row %d: %w", i, err)
		}
		items[i] = site.Item[T]{Key: w.Key, Removed: w.Removed, Revision: w.Revision, Value: w.Value}
		if w.Unreadable != "" {
			items[i].Err = errors.New(w.Unreadable)
		}
	}
	return items, nil
}

// form is the first byte of packed rows; the shape of the rows follows.
type form byte

// The values of form.
const (
	formPlain    form = iota + 1 // msgpack, structs as arrays
	formDeflated                 // the same, deflated
)

// headLen is the length of the form and the shape, in bytes.
const headLen = 1 + 8

const (
	// deflateFrom is the length in bytes from which on rows are deflated: that of some ten
	// servers, below which it saves little.
	deflateFrom = 1 << 10
	// mostUnpacked bounds the length of rows once inflated, in bytes: 12,000 servers take 1 MB
	// and 1,400 routes 0.3 MB, and a daemon has some hundred MB.
	mostUnpacked = 32 << 20
	// mostRows bounds the rows of one message: eight times the planned servers.
	mostRows = 100_000
)

// Errors of rows that another daemon gave.
var (
	errForm  = errors.New("rows in an unknown form")
	errRows  = errors.New("too many rows")
	errLarge = errors.New("rows too large once inflated")
)

// pack writes rows as daemons give them to each other. 3,000 servers take 44 KB, and one 69
// bytes (TestRowsAreSmall): at a start of hundreds of daemons each needs them, and bytes
// between failure domains are dear.
func pack(rowsShape shape, rows any) ([]byte, error) {
	var plain bytes.Buffer
	plain.Write(rowsShape.head(formPlain))
	enc := msgpack.NewEncoder(&plain)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	enc.UseCompactFloats(true)
	if err := enc.Encode(rows); err != nil {
		return nil, err
	}
	if plain.Len() < deflateFrom {
		return plain.Bytes(), nil
	}
	var out bytes.Buffer
	out.Write(rowsShape.head(formDeflated))
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(plain.Bytes()[headLen:]); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// deflaters are kept, since each takes some hundred KB.
var deflaters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(fmt.Sprintf("gateway: the level of compression: %v", err))
	}
	return w
}}

// unpack reads what pack wrote. A length that a row claims is covered by bytes that are
// there: the decoder would ask for the memory before it looks.
func unpack(rowsShape shape, b []byte) ([]byte, error) {
	if len(b) < headLen || binary.BigEndian.Uint64(b[1:]) != uint64(rowsShape) {
		return nil, errForm
	}
	plain := b[headLen:]
	switch form(b[0]) {
	case formPlain:
	case formDeflated:
		var err error
		if plain, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(plain)), mostUnpacked+1)); err != nil {
			return nil, err
		}
		if len(plain) > mostUnpacked {
			return nil, errLarge
		}
	default:
		return nil, fmt.Errorf("%w: %d", errForm, b[0])
	}
	return plain, peer.WellFormed(plain)
}
