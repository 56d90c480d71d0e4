package rig

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Client is a client of a zone. It asks the daemons where to connect, keeps the answer for as long as
// that says, and keeps connections.
type Client struct {
	Site *Site
	Zone string

	mu        sync.Mutex
	addresses []string
	until     time.Time
	failed    map[string]time.Time
	idle      []*clientConn
}

type clientConn struct {
	net.Conn
	address string
	in      *bufio.Reader
	since   time.Time
	patient bool // the answer is a stream, which its client abandons after eventGap
}

// eventGap is after which silence a client abandons a stream.
const eventGap = 2 * time.Second

func newClientConn(raw net.Conn, address string) *clientConn {
	c := &clientConn{Conn: raw, address: address}
	c.in = bufio.NewReader(c)
	return c
}

// Read implements net.Conn.
func (c *clientConn) Read(b []byte) (int, error) {
	if c.patient {
		_ = c.SetReadDeadline(time.Now().Add(eventGap))
	}
	return c.Conn.Read(b)
}

// Request is what a client sends.
type Request struct {
	ID, Host, Path, Method string
	Body                   []byte
	DeadlineMs             int
	Stream                 bool
}

// Reply is what a client has seen.
type Reply struct {
	Daemon   string // address that the request was sent to
	Kept     bool   // the connection had carried a request before
	Sent     time.Time
	Written  bool // the whole request was written
	Ended    time.Time
	Status   int // 0 without a head
	Stamp    string
	Body     []byte
	Complete bool // the answer has ended as complete
	Timeout  bool // the client has given up at its deadline
	Err      error
}

// resolve asks up to three daemons, nearest first.
func (c *Client) resolve() {
	if time.Now().Before(c.until) {
		return
	}
	asked := 0
	for _, near := range []bool{true, false} {
		for _, d := range c.Site.Daemons {
			if (d.Zone == c.Zone) != near || asked == 3 {
				continue
			}
			asked++
			client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
			resp, err := client.Get("http://" + d.Directory + pathResolve + "?Name=site.example&Region=kerala-south&Zone=" + c.Zone)
			if err != nil {
				continue
			}
			var answer struct {
				Addresses []string
				TTLS      float64 `json:"TtlS"`
			}
			err = json.NewDecoder(resp.Body).Decode(&answer)
			_ = resp.Body.Close()
			if err != nil || len(answer.Addresses) == 0 {
				continue
			}
			c.addresses, c.until = answer.Addresses, time.Now().Add(time.Duration(min(answer.TTLS, 5)*float64(time.Second)))
			c.failed = map[string]time.Time{}
			return
		}
	}
	c.until = time.Now().Add(100 * time.Millisecond) // keeps what it has, and asks again
}

// connect returns a connection to one of the daemons.
func (c *Client) connect() (*clientConn, bool, error) {
	c.mu.Lock()
	c.resolve()
	usable := map[string]bool{}
	var fresh []string
	for _, a := range c.addresses {
		usable[a] = true
		if _, bad := c.failed[a]; !bad {
			fresh = append(fresh, a)
		}
	}
	if len(fresh) == 0 {
		fresh = c.addresses
	}
	for len(c.idle) > 0 {
		conn := c.idle[len(c.idle)-1]
		c.idle = c.idle[:len(c.idle)-1]
		if usable[conn.address] && time.Since(conn.since) < IdleTimeoutMs*4/5*time.Millisecond && conn.open() {
			c.mu.Unlock()
			return conn, true, nil
		}
		_ = conn.Close()
	}
	c.mu.Unlock()
	if len(fresh) == 0 {
		return nil, false, fmt.Errorf("no address")
	}
	address := fresh[rand.IntN(len(fresh))]
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		c.mu.Lock()
		c.failed[address] = time.Now()
		c.mu.Unlock()
		return nil, false, err
	}
	return newClientConn(raw, address), false, nil
}

// open reports whether the daemon has not closed the connection.
func (c *clientConn) open() bool {
	_ = c.SetReadDeadline(time.Now().Add(time.Microsecond))
	_, err := c.in.Peek(1)
	_ = c.SetReadDeadline(time.Time{})
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// Do sends one request and waits for its answer.
func (c *Client) Do(q Request) Reply {
	conn, kept, err := c.connect()
	if err != nil {
		return Reply{Err: err, Sent: time.Now(), Ended: time.Now()}
	}
	out := Reply{Daemon: conn.address, Kept: kept, Sent: time.Now()}
	_ = conn.SetDeadline(out.Sent.Add(time.Duration(q.DeadlineMs) * time.Millisecond))
	if err := conn.send(q); err != nil {
		_ = conn.Close()
		out.Err, out.Ended = err, time.Now()
		return out
	}
	out.Written = true
	reuse := conn.receive(q, &out)
	out.Ended = time.Now()
	if timeout, ok := out.Err.(net.Error); ok && timeout.Timeout() {
		out.Timeout = true
	}
	if !reuse {
		_ = conn.Close()
		return out
	}
	_ = conn.SetDeadline(time.Time{})
	conn.since = time.Now()
	c.mu.Lock()
	c.idle = append(c.idle, conn)
	c.mu.Unlock()
	return out
}

func (c *clientConn) send(q Request) error {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\nAuthorization: Bearer %s\r\n", q.Method, q.Path, q.Host, hdrRequestID, q.ID, hdrDeadline, q.DeadlineMs, Key)
	if q.Stream {
		fmt.Fprintf(&b, "%s: m0\r\n%s: 800,160\r\n%s: 5c1e07a2:40,%s:760\r\n", hdrModel, hdrCounts, hdrPrefix, q.ID)
	}
	if len(q.Body) > 0 || q.Method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %s\r\n", strconv.Itoa(len(q.Body)))
	}
	b.WriteString("\r\n")
	b.Write(q.Body)
	_, err := c.Write(b.Bytes())
	return err
}

func (c *clientConn) receive(q Request, out *Reply) (reuse bool) {
	c.patient = q.Stream
	defer func() { c.patient = false }()
	resp, err := http.ReadResponse(c.in, &http.Request{Method: q.Method})
	if err != nil {
		out.Err = err
		return false
	}
	out.Status, out.Stamp = resp.StatusCode, resp.Header.Get(hdrStamp)
	out.Body, out.Err = io.ReadAll(resp.Body)
	_ = resp.Body.Close()
	out.Complete = out.Err == nil
	return out.Complete && !resp.Close
}

// Try sends a request to a daemon on a new connection.
func Try(address string, q Request) Reply {
	out := Reply{Daemon: address, Sent: time.Now()}
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		out.Err, out.Ended = err, time.Now()
		return out
	}
	conn := newClientConn(raw, address)
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(out.Sent.Add(time.Duration(q.DeadlineMs) * time.Millisecond))
	if out.Err = conn.send(q); out.Err == nil {
		out.Written = true
		conn.receive(q, &out)
	}
	out.Ended = time.Now()
	return out
}
