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
	"sync"
	"time"
)

// Repeater is a stand-in of a plain backend server that speaks on the connection itself. While it is
// faulty, it gives a part of its answers twice: the second one arrives late, when the next request on
// the connection is read.
type Repeater struct {
	ID, Service, Zone, Address string
	Slots, Queue               int
	Work                       func(id string) time.Duration
	// RetryAfter is what it states, in seconds, when it turns a request away.
	RetryAfter float64
	// Shed is the share of the requests that it turns away while it is faulty.
	Shed float64
	// Extra is the share of the answers that are given twice.
	Extra float64

	listener net.Listener
	slots    chan struct{}
	mu       sync.Mutex
	waiting  int
	faulty   bool
	rng      *rand.Rand
	runs     map[string][]time.Time
	counts   map[string]int
}

// Start listens on a loopback port.
func (p *Repeater) Start(seed uint64) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.listener, p.Address = l, l.Addr().String()
	p.slots, p.runs, p.counts = make(chan struct{}, p.Slots), map[string][]time.Time{}, map[string]int{}
	p.rng = rand.New(rand.NewPCG(seed, 7))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return nil
}

// Entry is the server's entry in the list.
func (p *Repeater) Entry() map[string]any {
	return map[string]any{"Service": p.Service, "Address": p.Address, "Zone": p.Zone, "Version": "1", "Slots": p.Slots, "State": "ready", "Seq": 1}
}

// SetFaulty begins or ends the fault.
func (p *Repeater) SetFaulty(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faulty = on
}

// Runs returns when the server began to work on a request.
func (p *Repeater) Runs(id string) []time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[id]
}

// Counts returns how many answers of each kind it gave.
func (p *Repeater) Counts() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

func (p *Repeater) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	var extra []byte
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if extra != nil {
			if _, err := c.Write(extra); err != nil {
				return
			}
			extra = nil
		}
		answer := p.answer(req)
		if _, err := c.Write(answer); err != nil {
			return
		}
		if req.Header.Get(hdrRequestID) != "" && p.repeats() {
			extra = answer
		}
	}
}

func (p *Repeater) repeats() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.faulty || p.rng.Float64() >= p.Extra {
		return false
	}
	p.counts["given twice"]++
	return true
}

func (p *Repeater) answer(req *http.Request) []byte {
	id := req.Header.Get(hdrRequestID)
	head := http.Header{hdrRequestID: {id}}
	if req.URL.Path == pathReport {
		body, _ := json.Marshal(map[string]any{"Stage": "colocated", "Models": []any{}, "Busy": false, "Seq": 0, "QueueDepth": 0, "InFlight": len(p.slots), "KvUsed": 0, "KvTotal": 0, "Handles": 0})
		return format(http.StatusOK, http.Header{"Content-Type": {"application/json"}}, body)
	}
	if want := req.Header.Get(hdrExpect); want != "" && want != p.ID {
		head.Set(hdrNotRun, "1")
		return format(http.StatusMisdirectedRequest, head, nil)
	}
	p.mu.Lock()
	full := p.waiting >= p.Slots+p.Queue || p.faulty && p.rng.Float64() < p.Shed
	if full {
		p.counts["turned away"]++
	} else {
		p.waiting++
	}
	p.mu.Unlock()
	if full {
		head.Set(hdrNotRun, "1")
		head.Set("Retry-After", fmt.Sprint(p.RetryAfter))
		return format(http.StatusServiceUnavailable, head, nil)
	}
	p.slots <- struct{}{}
	p.mu.Lock()
	p.runs[id] = append(p.runs[id], time.Now())
	p.counts["run"]++
	p.mu.Unlock()
	time.Sleep(p.Work(id))
	<-p.slots
	p.mu.Lock()
	p.waiting--
	p.mu.Unlock()
	head.Set(hdrStamp, p.ID+".1")
	return format(http.StatusOK, head, Answer(id))
}

func format(status int, head http.Header, body []byte) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n", status, http.StatusText(status), len(body))
	_ = head.Write(&b)
	b.WriteString("\r\n")
	b.Write(body)
	return b.Bytes()
}
