package peer

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
)

// Sizes of a Reader's buffers.
const (
	readBuffer = 16 << 10
	firstGrow  = 4 << 10
	keepBuffer = 64 << 10 // a longer one is given back after its frame
)

// Reader reads frames. It belongs to one goroutine.
type Reader struct {
	r     *bufio.Reader
	limit int
	buf   []byte
}

// NewReader returns a Reader of r that refuses frames whose length is above
// limit.
func NewReader(r io.Reader, limit int) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBuffer), limit: limit}
}

// Wait returns when the first byte of a frame is there. The error is that of
// the underlying reader; io.EOF is an end between frames.
func (r *Reader) Wait() error {
	_, err := r.r.Peek(1)
	return err
}

// Ready reports whether the next frame is buffered whole, so that Next does
// not read from the underlying reader.
func (r *Reader) Ready() bool {
	if r.r.Buffered() < headerLen {
		return false
	}
	head, err := r.r.Peek(headerLen)
	return err == nil && r.r.Buffered()-headerLen >= int(binary.BigEndian.Uint32(head))
}

// Next reads one frame. The envelope's Body holds until the next call. An error
// is a *FrameError, io.EOF between frames, or that of the underlying reader.
func (r *Reader) Next() (Envelope, error) {
	var head [headerLen]byte
	if _, err := io.ReadFull(r.r, head[:]); err != nil {
		return Envelope{}, truncated(err)
	}
	n := int(binary.BigEndian.Uint32(head[:]))
	if n > r.limit {
		return Envelope{}, fault(FaultOversized, "%d bytes, at most %d", n, r.limit)
	}
	if n < minFrameLen {
		return Envelope{}, fault(FaultTruncated, "%d bytes are no frame", n)
	}
	frame, err := r.read(n)
	if err != nil {
		return Envelope{}, err
	}
	if frame[0] != Version {
		return Envelope{}, fault(FaultVersion, "version %d, want %d", frame[0], Version)
	}
	return DecodeEnvelope(frame[1:])
}

// read reads n bytes. Room is made as bytes come, so that a sender that
// announces a long frame and sends none of it holds no memory.
func (r *Reader) read(n int) ([]byte, error) {
	if cap(r.buf) > keepBuffer {
		r.buf = nil
	}
	have := 0
	for have < n {
		if have == cap(r.buf) {
			grown := make([]byte, min(n, max(firstGrow, 2*cap(r.buf))))
			copy(grown, r.buf[:have])
			r.buf = grown
		}
		want := min(n, cap(r.buf))
		got, err := io.ReadFull(r.r, r.buf[have:want:want])
		have += got
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, truncated(err)
		}
	}
	return r.buf[:n], nil
}

// truncated turns an end inside a frame into a *FrameError.
func truncated(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return fault(FaultTruncated, "the connection ended inside a frame")
	}
	return err
}
