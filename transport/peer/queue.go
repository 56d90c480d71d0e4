package peer

// frame is one encoded frame in a queue.
type frame struct {
	bytes []byte
	call  *call // nil unless it is a call
}

// queue is a FIFO of frames, bounded in number and bytes. It is not safe for concurrent
// use.
type queue struct {
	frames    []frame
	head      int // index of the oldest
	size      int // bytes
	maxFrames int
	maxBytes  int
}

func (q *queue) len() int { return len(q.frames) - q.head }

// push adds f and returns the oldest frames that were dropped to make room for it. The
// newest is always kept, because control messages supersede older ones.
func (q *queue) push(f frame) (dropped []frame) {
	q.frames = append(q.frames, f)
	q.size += len(f.bytes)
	for q.len() > 1 && (q.len() > q.maxFrames || q.size > q.maxBytes) {
		dropped = append(dropped, q.pop())
	}
	return dropped
}

// pop removes and returns the oldest frame.
func (q *queue) pop() frame {
	f := q.frames[q.head]
	q.frames[q.head] = frame{}
	q.head++
	q.size -= len(f.bytes)
	switch {
	case q.head == len(q.frames):
		q.frames, q.head = q.frames[:0], 0
	case q.head > len(q.frames)/2 && q.head > compactThreshold:
		n := copy(q.frames, q.frames[q.head:])
		clear(q.frames[n:])
		q.frames, q.head = q.frames[:n], 0
	}
	return f
}

// compactThreshold is how many popped frames may precede the queued ones before these
// are moved to the front of the slice.
const compactThreshold = 64

// drain removes and returns all frames.
func (q *queue) drain() []frame {
	all := make([]frame, 0, q.len())
	for q.len() > 0 {
		all = append(all, q.pop())
	}
	return all
}

// remove removes the frame of c if it is still queued.
func (q *queue) remove(c *call) {
	for i := q.head; i < len(q.frames); i++ {
		if q.frames[i].call != c {
			continue
		}
		q.size -= len(q.frames[i].bytes)
		q.frames = append(q.frames[:i], q.frames[i+1:]...)
		return
	}
}
