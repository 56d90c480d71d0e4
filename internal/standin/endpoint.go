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
	loopbackAddress = "127.0.0.1:0"
	maxBodyBytes    = 32 << 20
	relistenTimeout = 5 * time.Second
)

// errAborted ends a call without a response by closing its connection.
var errAborted = errors.New("connection is dropped")

// statusError is a response with a status other than 200.
type statusError struct {
	status int
	text   string
}

func (e *statusError) Error() string { return e.text }

// endpoint is one HTTP server that can simulate the failures of a remote system.
type endpoint struct {
	mux     *http.ServeMux
	address string

	mu            sync.Mutex
	server        *http.Server
	conns         map[*faultConn]struct{}
	dead          chan struct{} // closed by Kill
	thaw          chan struct{} // closed by Freeze(false); nil when not frozen
	link          linkFault
	answersToLose int // number of responses still to be lost
	onKill        []func()
}

func newEndpoint() *endpoint {
	return &endpoint{mux: http.NewServeMux(), conns: make(map[*faultConn]struct{})}
}

// listen starts or restarts the server. A restart uses the same address, and retries
// for up to relistenTimeout until the address is free.
func (e *endpoint) listen() error {
	address := e.address
	if address == "" {
		address = loopbackAddress
	}
	ln, err := net.Listen("tcp", address)
	for start := time.Now(); err != nil && e.address != "" && time.Since(start) < relistenTimeout; {
		time.Sleep(10 * time.Millisecond)
		ln, err = net.Listen("tcp", address)
	}
	if err != nil {
		return fmt.Errorf("start stand-in: %w", err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address = ln.Addr().String()
	e.dead = make(chan struct{})
	e.link.listener = ln
	e.server = &http.Server{Handler: e.mux, ReadHeaderTimeout: time.Minute}
	go func(s *http.Server) { _ = s.Serve(&faultListener{Listener: ln, parent: e}) }(e.server)
	return nil
}

// Address returns the server's address as host:port. It stays the same across Kill
// and Restart.
func (e *endpoint) Address() string { return e.address }

// URL returns the server's base URL.
func (e *endpoint) URL() string { return "http://" + e.address }

// Kill stops the server at once: it closes the listener and all connections, so that
// calls in flight get no response.
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
	e.restoreLink()
	_ = server.Close()
}

// Close stops the server, as Kill does.
func (e *endpoint) Close() { e.Kill() }

// Alive reports whether the server is running.
func (e *endpoint) Alive() bool {
	select {
	case <-e.deadChan():
		return false
	default:
		return true
	}
}

func (e *endpoint) deadChan() <-chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dead
}

// Freeze pauses the server like a paused virtual machine: the kernel still accepts
// connections, but no call is answered. Calls received meanwhile continue when the
// freeze ends.
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

// awaitThaw waits while the server is frozen. It returns false if the server was
// killed.
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

// LoseAnswers makes the next n write calls take effect without a response: their
// connections are closed.
func (e *endpoint) LoseAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answersToLose = n
}

func (e *endpoint) loseAnswer() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.answersToLose == 0 {
		return false
	}
	e.answersToLose--
	return true
}

// BlackholeConnections makes the open connections drop all further data in both
// directions without closing them. New connections work.
func (e *endpoint) BlackholeConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		c.blackholed.Store(true)
	}
}

// Connections returns the number of open connections.
func (e *endpoint) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

// callKind says whether a call changes state.
type callKind bool

const (
	readCall  callKind = false
	writeCall callKind = true
)

// serve runs one call and writes its result as JSON, or as it is when it is a []byte.
// The call continues when its caller disconnects, like a call that takes effect late
// on a real system.
func (e *endpoint) serve(w http.ResponseWriter, r *http.Request, kind callKind, run func(body []byte) (any, error)) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
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
	if kind == writeCall && e.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	var s *statusError
	switch {
	case errors.As(err, &s):
		status, out = s.status, errorBody{Error: s.text}
	case err != nil:
		status, out = http.StatusBadRequest, errorBody{Error: err.Error()}
	}
	if octets, ok := out.([]byte); ok {
		_, _ = w.Write(octets)
		return
	}
	encoded, err := json.Marshal(out)
	if err != nil {
		panic(fmt.Sprintf("standin: encode response: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}

// errorBody is the body of a response with a status other than 200.
type errorBody struct {
	Error string `json:"error"`
}

// handle registers run for pattern. It decodes the request's JSON body into In.
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
