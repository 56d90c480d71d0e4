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

// encodedRows are rows of a feed encoded for other daemons.
type encodedRows struct {
	after uint64 // the rows contain all changes after this revision
	upTo  uint64 // up to and including this one
	bytes []byte
}

// attach adds the rows to an announcement, unless the feed has changed again since they
// were encoded: a receiver that took them as all changes up to the announced revision would
// miss that change.
func (r encodedRows) attach(ann *following.Announcement) {
	if len(r.bytes) > 0 && r.upTo == ann.LastChange {
		ann.RowsAfter, ann.Rows = r.after, r.bytes
	}
}

// wireItem is the encoding of a site.Item between daemons.
type wireItem[T any] struct {
	Key        string `msgpack:"key"`
	Removed    bool   `msgpack:"removed,omitempty"`
	Revision   uint64 `msgpack:"revision"`
	Value      T      `msgpack:"value"`
	Unreadable string `msgpack:"unreadable,omitempty"` // why there is no value
}

// encode encodes rows. If that fails, the other daemons read them from the store.
func (f *feedTracker[T]) encode(items []site.Item[T], after, upTo uint64) encodedRows {
	wireItems := make([]wireItem[T], len(items))
	for i, it := range items {
		wireItems[i] = wireItem[T]{Key: it.Key, Removed: it.Removed, Revision: it.Revision, Value: it.Value}
		if it.Err != nil {
			wireItems[i].Unreadable = it.Err.Error()
		}
	}
	b, err := pack(layoutHashOf[T](), wireItems)
	if err != nil {
		f.c.g.log.Emit(telemetry.EventRowsUnreadable, telemetry.Peer(f.c.g.self.ID), telemetry.Cause(err))
		return encodedRows{}
	}
	return encodedRows{after: after, upTo: upTo, bytes: b}
}

// decode decodes the result of encode.
func decode[T any](b []byte) ([]site.Item[T], error) {
	plain, err := unpack(layoutHashOf[T](), b)
	if err != nil {
		return nil, err
	}
	dec := msgpack.NewDecoder(bytes.NewReader(plain))
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return nil, err
	}
	if n < 0 || n > maxRows {
		return nil, fmt.Errorf("%w: %d", errTooManyRows, n)
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

// rowEncoding is the first byte of packed rows; the layout hash of the rows follows.
type rowEncoding byte

const (
	encodingPlain    rowEncoding = iota + 1 // msgpack, structs as arrays
	encodingDeflated                        // the same, deflated
)

// headerLen is the length in bytes of the encoding and the layout hash.
const headerLen = 1 + 8

const (
	// minDeflateSize is the length in bytes from which on rows are deflated. That is the
	// size of about ten servers; below it deflating saves little.
	minDeflateSize = 1 << 10
	// maxInflatedSize limits the length in bytes of inflated rows: 12,000 servers take 1 MB
	// and 1,400 routes 0.3 MB, and a daemon has several hundred MB of memory.
	maxInflatedSize = 32 << 20
	// maxRows limits the rows of one message: eight times the planned number of servers.
	maxRows = 100_000
)

// Errors of rows received from another daemon.
var (
	errUnknownEncoding = errors.New("unknown encoding or layout of rows")
	errTooManyRows     = errors.New("too many rows")
	errRowsTooLarge    = errors.New("inflated rows are too large")
)

// pack encodes rows for other daemons. 3,000 servers take 44 KB, and one takes 69 bytes
// (TestRowsAreSmall). When hundreds of daemons start, each needs the rows, and traffic
// between failure domains is expensive.
func pack(layout layoutHash, rows any) ([]byte, error) {
	var plain bytes.Buffer
	plain.Write(layout.header(encodingPlain))
	enc := msgpack.NewEncoder(&plain)
	enc.UseArrayEncodedStructs(true)
	enc.UseCompactInts(true)
	enc.UseCompactFloats(true)
	if err := enc.Encode(rows); err != nil {
		return nil, err
	}
	if plain.Len() < minDeflateSize {
		return plain.Bytes(), nil
	}
	var out bytes.Buffer
	out.Write(layout.header(encodingDeflated))
	w := deflaters.Get().(*flate.Writer)
	defer deflaters.Put(w)
	w.Reset(&out)
	if _, err := w.Write(plain.Bytes()[headerLen:]); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// deflaters are reused, since each takes several hundred KB.
var deflaters = sync.Pool{New: func() any {
	w, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		panic(fmt.Sprintf("gateway: invalid compression level: %v", err))
	}
	return w
}}

// unpack decodes the result of pack. It verifies that each length that a row claims is
// covered by the actual bytes, since the decoder would allocate memory before it checks.
func unpack(layout layoutHash, b []byte) ([]byte, error) {
	if len(b) < headerLen || binary.BigEndian.Uint64(b[1:]) != uint64(layout) {
		return nil, errUnknownEncoding
	}
	plain := b[headerLen:]
	switch rowEncoding(b[0]) {
	case encodingPlain:
	case encodingDeflated:
		var err error
		if plain, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(plain)), maxInflatedSize+1)); err != nil {
			return nil, err
		}
		if len(plain) > maxInflatedSize {
			return nil, errRowsTooLarge
		}
	default:
		return nil, fmt.Errorf("%w: %d", errUnknownEncoding, b[0])
	}
	return plain, peer.WellFormed(plain)
}
