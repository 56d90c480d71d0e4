package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	loopback    = "127.0.0.1:0"
	maxBody     = 32 << 20
	relistenFor = 5 * time.Second
)

// errAborted ends a call without an answer: its connection is closed.
var errAborted = errors.New("connection is dropped")

// statusError is an answer other than 200.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string { return e.text }

// endpoint is one listening server with the failures of a remote system.
type endpoint struct {
	mux     *http.ServeMux
	address string

	mu     sync.Mutex
	server *http.Server
	conns  map[*faultConn]struct{}
	dead   chan struct{} // closed by Kill
	thaw   chan struct{} // nil when not frozen; closed by Freeze(false)
	lose   int           // answers still to be lost
	onKill []func()
}

func newEndpoint() *endpoint {
	return &endpoint{mux: http.NewServeMux(), conns: make(map[*faultConn]struct{})}
}

// listen starts or restarts the server, on the same address once it has one.
func (e *endpoint) listen() error {
	address := e.address
	if address == "" {
		address = loopback
	}
	ln, err := net.Listen("tcp", address)
	for begin := time.Now(); err != nil && e.address != "" && time.Since(begin) < relistenFor; {
		time.Sleep(10 * time.Millisecond)
		ln, err = net.Listen("tcp", address)
	}
	if err != nil {
		return fmt.Errorf("stand-in can't listen: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = ln.Addr().String()
	e.dead = make(chan struct{})
	e.server = &http.Server{Handler: e.mux, ReadHeaderTimeout: time.Minute}
	go func(s *http.Server) { _ = s.Serve(&faultListener{Listener: ln, owner: e}) }(e.server)
	return nil
}

// Address is where the server listens, as host:port. It stays the same through
// Kill and Restart.
func (e *endpoint) Address() string { return e.address }

// URL is the server's base URL.
func (e *endpoint) URL() string { return "http://" + e.address }

// Kill ends the server at once: the listener and all connections are closed,
// calls under way get no answer.
func (e *endpoint) Kill() {
	e.mu.Lock()
	select {
	case <-e.dead:
		e.mu.Unlock()
		return
	default:
	}
	close(e.dead)
	server := e.server
	hooks := e.onKill
	e.mu.Unlock()
	for _, f := range hooks {
		f()
	}
	_ = server.Close()
}

// Close ends the server, as Kill does.
func (e *endpoint) Close() { e.Kill() }

// Alive reports whether the server runs.
func (e *endpoint) Alive() bool {
	select {
	case <-e.died():
		return false
	default:
		return true
	}
}

func (e *endpoint) died() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

// Freeze pauses the whole process, as a stopped virtual machine: connections
// are still taken by the kernel, nothing is answered. Calls that came in the
// meantime go on when it ends.
func (e *endpoint) Freeze(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if on == (e.thaw != nil) {
		return
	}
	if on {
		e.thaw = make(chan struct{})
		return
	}
	close(e.thaw)
	e.thaw = nil
}

// awaitThaw waits while the server is frozen; false means that it died.
func (e *endpoint) awaitThaw() bool {
	for {
		e.mu.Lock()
		thaw, dead := e.thaw, e.dead
		e.mu.Unlock()
		if thaw == nil {
			select {
			case <-dead:
				return false
			default:
				return true
			}
		}
		select {
		case <-thaw:
		case <-dead:
			return false
		}
	}
}

// LoseAnswers carries out the next n changing calls and closes their
// connections without an answer.
func (e *endpoint) LoseAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lose = n
}

func (e *endpoint) loseAnswer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lose == 0 {
		return false
	}
	e.lose--
	return true
}

// SilenceConnections makes the connections of this moment carry nothing any
// more, without closing them; new ones work.
func (e *endpoint) BlackholeConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.silent.Store(true)
	}
}

// Connections counts the open connections.
func (e *endpoint) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

// callKind says whether a call changes anything.
type callKind bool

const (
	reading  callKind = false
	changing callKind = true
)

// serve runs one call and answers it with out as JSON, or as octets when it is
// a []byte. The call goes on when its caller goes away, as a late one would.
func (e *endpoint) serve(w http.ResponseWriter, r *http.Request, kind callKind, run func(body []byte) (any, error)) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !e.awaitThaw() {
		panic(http.ErrAbortHandler)
	}
	out, err := run(body)
	if !e.awaitThaw() || errors.Is(err, errAborted) {
		panic(http.ErrAbortHandler)
	}
	if kind == changing && e.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	var s *statusError
	switch {
	case errors.As(err, &s):
		status, out = s.status, fault{Error: s.text}
	case err != nil:
		status, out = http.StatusBadRequest, fault{Error: err.Error()}
	}
	if octets, ok := out.([]byte); ok {
		_, _ = w.Write(octets)
		return
	}
	encoded, err := json.Marshal(out)
	if err != nil {
		panic(fmt.Sprintf("standin: answer can't be encoded: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// fault is the body of an answer that is not 200.
type fault struct {
	Error string `json:"error"`
}

// handle routes pattern to run with a decoded JSON body.
func handle[In, Out any](e *endpoint, pattern string, kind callKind, run func(In) (Out, error)) {
	e.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		e.serve(w, r, kind, func(body []byte) (any, error) {
			var in In
			if len(body) > 0 {
				if err := json.Unmarshal(body, &in); err != nil {
					return nil, err
				}
			}
			return run(in)
		})
	})
}
