package rig

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Run is what a backend server has done with a request.
type Run struct {
	Arrived, Began, Ended time.Time
	Result                string // "", "answered", "caller left", "deadline"
}

// Replica is a stand-in of a backend server.
type Replica struct {
	ID, Service, Zone, Address string
	Slots                      int
	Queue                      int // requests that wait for a slot; 0 for any number
	// Work is how long a plain request runs. Events and Pace are those of a stream; no events make it
	// a plain server.
	Work   func(id string) time.Duration
	Events func(id string) int
	Pace   time.Duration
	// Handler, if set, answers in place of the replica's own manner, once the request has a slot.
	Handler func(w http.ResponseWriter, r *http.Request, body []byte) bool

	server *http.Server
	slots  chan struct{}
	// waiting counts the requests that run or wait for a slot.
	waiting atomic.Int64
	mu      sync.Mutex
	runs    map[string][]*Run
}

// Start listens on a loopback address, a free one if the replica has none.
func (p *Replica) Start() error {
	if p.Address == "" {
		p.Address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", p.Address)
	if err != nil {
		return err
	}
	p.Address = l.Addr().String()
	p.slots, p.runs = make(chan struct{}, p.Slots), map[string][]*Run{}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathReport, p.report)
	mux.HandleFunc("POST "+pathOrder, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set(hdrInstance, p.ID) })
	mux.HandleFunc("/", p.serve)
	p.server = &http.Server{Handler: mux}
	go func() { _ = p.server.Serve(l) }()
	return nil
}

// Stop ends the replica: its listener and connections close.
func (p *Replica) Stop() { _ = p.server.Close() }

// Entry is the replica's entry in the list of servers.
func (p *Replica) Entry(state string) map[string]any {
	e := map[string]any{"Service": p.Service, "Address": p.Address, "Zone": p.Zone, "Version": "1", "Slots": p.Slots, "State": state, "Seq": 1}
	if p.Events != nil {
		e["Kind"], e["Layers"] = kindName, map[string]int{"From": 0, "Target": layers}
		e["Models"] = []map[string]any{{"Name": "m0", "Version": 1, "Adapters": []string{}}}
	}
	return e
}

func (p *Replica) report(w http.ResponseWriter, _ *http.Request) {
	body := map[string]any{"Stage": "colocated", "Models": []any{}, "Busy": false, "Seq": 0, "QueueDepth": 0, "InFlight": len(p.slots), "KvUsed": 0, "KvTotal": 8000000, "Handles": 0, "pace": 1.0}
	if p.Events != nil {
		body["Layers"] = map[string]int{"From": 0, "Target": layers}
	}
	data, _ := json.Marshal(body)
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

func (p *Replica) refuse(w http.ResponseWriter, status int) {
	w.Header().Set(hdrNotRun, "1")
	w.Header().Set(hdrInstance, p.ID)
	w.WriteHeader(status)
}

func (p *Replica) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(hdrRequestID)
	w.Header().Set(hdrRequestID, id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get(hdrExpect); want != "" && want != p.ID {
		p.refuse(w, http.StatusMisdirectedRequest)
		return
	}
	ctx := r.Context()
	if ms, err := strconv.ParseFloat(r.Header.Get(hdrDeadline), 64); err == nil {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms*float64(time.Millisecond)))
		defer cancel()
	}
	run := &Run{Arrived: time.Now()}
	if waiting := p.waiting.Add(1); p.Queue > 0 && waiting > int64(p.Slots+p.Queue) {
		p.waiting.Add(-1)
		p.refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer p.waiting.Add(-1)
	select {
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	case <-ctx.Done():
		p.refuse(w, http.StatusServiceUnavailable)
		return
	}
	p.mu.Lock()
	run.Began = time.Now()
	p.runs[id] = append(p.runs[id], run)
	p.mu.Unlock()
	result := "answered"
	defer func() {
		p.mu.Lock()
		run.Ended, run.Result = time.Now(), result
		p.mu.Unlock()
	}()
	w.Header().Set(hdrStamp, p.ID+".1")
	if p.Handler != nil && p.Handler(w, r, body) {
		return
	}
	if p.Events != nil {
		result = p.stream(ctx, w, r, id)
		return
	}
	select {
	case <-time.After(p.Work(id)):
		_, _ = w.Write(Answer(id))
	case <-ctx.Done():
		result = ended(r)
		w.WriteHeader(http.StatusGatewayTimeout)
	}
}

func ended(r *http.Request) string {
	if r.Context().Err() != nil {
		return "caller left"
	}
	return "deadline"
}

func (p *Replica) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, id string) string {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get(hdrLastEvent))
	out := http.NewResponseController(w)
	for i := last + 1; i <= p.Events(id); i++ {
		select {
		case <-time.After(p.Pace):
		case <-ctx.Done():
			return ended(r)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, id); err != nil {
			return "caller left"
		}
		_ = out.Flush()
	}
	return "answered"
}

// Runs returns what the replica has done with a request.
func (p *Replica) Runs(id string) []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []Run
	for _, r := range p.runs[id] {
		out = append(out, *r)
	}
	return out
}

// Answer is the whole answer to a plain request.
func Answer(id string) []byte {
	out := []byte("answer to " + id + ": ")
	for len(out) < 800 {
		out = append(out, "........"...)
	}
	return append(out, " end"...)
}

// Draw returns a number that depends on an id alone, log-normal with a mean and a spread.
func Draw(id string, mean, spread, most float64) float64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, id)
	rng := rand.New(rand.NewPCG(h.Sum64(), 1))
	sigma := math.Sqrt(math.Log(1 + spread*spread))
	return min(most, mean*math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2))
}
