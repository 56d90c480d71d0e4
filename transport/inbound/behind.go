package inbound

import (
	"bytes"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// headerByteCost and headerFieldCost are how many bytes of memory a byte and a field of a header take, with
	// the copies that are made for the server and while the request is served.
	headerByteCost  = 3
	headerFieldCost = 256
	// usualHeaderCost is what a header may take without a share of the memory for all.
	usualHeaderCost = 32 << 10
	// headerCostStep is the least that a header takes of it at once.
	headerCostStep = 16 << 10
)

// headerMemory is what the header of a connection's current request holds.
type headerMemory struct {
	reading atomic.Bool // what is read belongs to a header
	cost    int64       // of what was read; used by the reading goroutine alone
	taken   atomic.Int64
}

// chargeHeader takes the memory that a part of a header holds once it is parsed, and reports whether there was so
// much.
//
// Guard (crowd-exhausts-process): a header of very many short fields holds a multiple of its size, also while its
// end does not come.
func (c *conn) chargeHeader(part []byte) bool {
	h := &c.header
	if !h.reading.Load() {
		return true
	}
	h.cost += int64(len(part)*headerByteCost + bytes.Count(part, []byte("\n"))*headerFieldCost)
	more := h.cost - usualHeaderCost - h.taken.Load()
	if more <= 0 {
		return true
	}
	more = max(more, headerCostStep)
	if !c.memory.take(more, h.taken.Load()+more) {
		return false
	}
	h.taken.Add(more)
	if c.closed.Load() {
		c.releaseHeader() // it may have been released before
		return false
	}
	return true
}

// releaseHeader gives back what the header of the last request held.
func (c *conn) releaseHeader() { c.memory.giveBack(c.header.taken.Swap(0)) }

// awaitHeader is called when the next header may come.
func (c *conn) awaitHeader() {
	c.releaseHeader()
	c.header.cost = 0
	c.header.reading.Store(true)
	c.behindSince.Store(time.Now().UnixNano())
}

// serve serves a request. Its caller is behind unless the handler works on it.
func (c *conn) serve(h http.Handler, w http.ResponseWriter, r *http.Request) {
	c.header.reading.Store(false)
	c.behindSince.Store(0)
	if c.ending.Load() {
		w.Header().Set("Connection", "close")
	}
	defer func() {
		c.behindSince.Store(time.Now().UnixNano())
		// The server reads the rest of a body that the handler has left.
		_ = c.Conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	}()
	h.ServeHTTP(w, r)
}

// await marks that the daemon waits for the caller until the returned function is called.
func (c *conn) await() (end func()) {
	if !c.behindSince.CompareAndSwap(0, time.Now().UnixNano()) {
		return func() {}
	}
	return func() { c.behindSince.Store(0) }
}

// holds records how much memory the body of the current request holds. c may be nil.
func (c *conn) holds(bytes int64) {
	if c != nil {
		c.bodyBytes.Store(bytes)
	}
}

// held returns how much of the memory for all the connection holds.
func (c *conn) held() int64 { return c.header.taken.Load() + c.bodyBytes.Load() }

// connections are the open connections of all ports. It is safe for concurrent use.
type connections struct {
	mu   sync.Mutex
	open map[*conn]struct{}
}

func (l *connections) add(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[c] = struct{}{}
}

func (l *connections) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// closeBehind closes that one of some connections whose caller has been behind for longest, if that is longer than
// the time for a header, and returns it, or nil.
func (l *connections) closeBehind(among func(*conn) bool) *conn {
	c := l.longestBehind(time.Now(), among)
	if c != nil {
		_ = c.Close()
	}
	return c
}

func (l *connections) longestBehind(now time.Time, among func(*conn) bool) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	var longest *conn
	var since int64
	for c := range l.open {
		at := c.behindSince.Load()
		if at == 0 || longest != nil && at >= since || !among(c) {
			continue
		}
		longest, since = c, at
	}
	if longest == nil || now.UnixNano()-since < int64(longest.limits().withDefaults(DefaultLimits).HeaderTimeout) {
		return nil
	}
	return longest
}

// endOldest makes the oldest one of some connections end with the answer to its current request, or to its next one.
func (l *connections) endOldest(among func(*conn) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var oldest *conn
	for c := range l.open {
		if !c.ending.Load() && among(c) && (oldest == nil || c.opened.Before(oldest.opened)) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.ending.Store(true)
	}
}

// reclaim closes connections whose callers are behind until these have held a number of bytes, and reports whether
// there were enough.
func (l *connections) reclaim(bytes int64) bool {
	for bytes > 0 {
		c := l.longestBehind(time.Now(), func(c *conn) bool { return c.held() > 0 })
		if c == nil {
			return false
		}
		bytes -= c.held()
		_ = c.Close()
	}
	return true
}
