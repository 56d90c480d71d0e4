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
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the wire, joined from parts.
const (
	HeaderDeadline = "X-Deadline" + "-Ms"
	HeaderStamp    = "X-Server" + "-Stamp"
	HeaderNotRun   = "X-Not" + "-Run"
	HeaderExpect   = "X-Expect" + "-Instance"
	HeaderTokens   = "X-Token" + "-Counts"
	HeaderPrefix   = "X-Prompt" + "-Prefix"
	HeaderID       = "X-Request-Id"
)

// Site is a site of processes on loopback addresses.
type Site struct {
	Dir    string
	Store  *Store
	Net    string // first three parts of its addresses
	record *os.File
	mu     sync.Mutex
	procs  []*Daemon
	began  time.Time
}

// NewSite makes a site with a record file.
func NewSite(record string) (*Site, error) {
	dir, err := os.MkdirTemp("", "site")
	if err != nil {
		return nil, err
	}
	s := &Site{Dir: dir, Net: fmt.Sprintf("127.%d.%d.", 10+rand.IntN(200), 1+rand.IntN(250)), began: time.Now()}
	if s.record, err = os.Create(record); err != nil {
		return nil, err
	}
	s.Store, err = StartStore(s.Net + "250:0")
	return s, err
}

// Log writes a line to the record.
func (s *Site) Log(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.3f "+format+"\n", append([]any{time.Since(s.began).Seconds()}, args...)...)
}

// Daemon is one gateway process.
type Daemon struct {
	site     *Site
	Name, Ip string
	Front    string
	Ready    string
	settings string
	cmd      *exec.Cmd
	ended    chan struct{}
}

// StartDaemon starts the n-th daemon of a site, in a zone, with the settings of a small deployment.
func (s *Site) StartDaemon(n int, name, zone string) (*Daemon, error) {
	ip := s.Net + strconv.Itoa(n)
	port := func() int {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			panic(err)
		}
		defer l.Close()
		return l.Addr().(*net.TCPAddr).Port
	}
	p := port()
	d := &Daemon{site: s, Name: name, Ip: ip, Front: fmt.Sprintf("%s:%d", ip, port()), Ready: fmt.Sprintf("%s:%d", ip, port())}
	set := map[string]any{
		"Node": d.Name, "Role": "gateway", "MachineClass": "edge", "Serves": []string{"edge", "directory"}, "Ip": ip,
		"Zone": zone, "Region": "r", "PortRange": []int{p, p + 15}, "Bootstrap": true, "HeartbeatMs": 1200,
		"Zones":  map[string]string{"a": "r", "b": "r", "c": "r"},
		"Listen": map[string]any{"Front": d.Front, "Readiness": d.Ready, "Directory": fmt.Sprintf("%s:%d", ip, port())},
		"Limits": map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "MaxFds": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
		"Bounds": map[string]any{"SeedLagS": 3, "AddrReuseS": 2, "StableMs": 3000, "AckMs": 4000, "CatchUpS": 4, "DrainMs": 2000, "GraceS": 8,
			"LossSlackMs": 200, "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "MaxStretchMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10,
			"RetrySlack": 198, "RecoveryS": 12, "PassMs": 120, "stall_ms": 2500, "RequireFence": true, "ttl_max_s": 5},
		"Platform": map[string]any{"Address": s.Store.Address, "form": "table", "WritesPerS": 400, "ReadsPerS": 2000, "HistoryS": 20},
	}
	site, err := json.Marshal(set)
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile("deploy/settings.json")
	if err != nil {
		return nil, err
	}
	d.settings = filepath.Join(s.Dir, d.Name+".json")
	if err := os.WriteFile(d.settings, bytes.ReplaceAll(template, []byte("{{.|json}}"), site), 0o600); err != nil {
		return nil, err
	}
	s.mu.Lock()
	s.procs = append(s.procs, d)
	s.mu.Unlock()
	return d, d.Start()
}

// Start starts the process, also again after its end.
func (d *Daemon) Start() error {
	out, err := os.OpenFile(filepath.Join(d.site.Dir, d.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.cmd = exec.Command("target/hibiscusd", "gateway", "--metrics-port", "9464")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "HIBISCUSWICK" + "_CONFIG=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = out, out
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		return err
	}
	d.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) {
		err := c.Wait()
		d.site.Log("process of %s ended: %v", d.Name, err)
		close(ended)
		out.Close()
	}(d.cmd, d.ended)
	return nil
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(sig syscall.Signal) { _ = d.cmd.Process.Signal(sig) }

// Ended is closed once the process has ended.
func (d *Daemon) Ended() <-chan struct{} { return d.ended }

// Pid is the id of the process.
func (d *Daemon) Pid() int { return d.cmd.Process.Pid }

// AwaitReady waits until the daemon is ready.
func (d *Daemon) AwaitReady() bool {
	for range 400 {
		resp, err := http.Get("http://" + d.Ready + path("ready"+"z"))
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return true
			}
		}
		time.Sleep(25 * time.Millisecond)
	}
	return false
}

// Close ends all processes.
func (s *Site) Close() {
	for _, d := range s.procs {
		d.Signal(syscall.SIGCONT)
		d.Signal(syscall.SIGKILL)
		<-d.ended
	}
	s.record.Close()
	os.RemoveAll(s.Dir)
}

// Request is what a server has received.
type Request struct {
	*http.Request
	ID     string
	Body   []byte
	Conn   net.Conn
	Reader *bufio.Reader
	Server *Server
}

// Server is a server. Handle answers its requests.
type Server struct {
	ID, Address string
	Born        int64
	Handle      func(r *Request) bool // false: the connection is closed
	EarlyHead   func(r *Request) bool // called before the body is read, if not nil; true if it has handled the request
	Report      string
	l           net.Listener
	mu          sync.Mutex
	conns       map[net.Conn]bool
}

// StartServer starts a server at an address.
func StartServer(id, address string, handle func(r *Request) bool) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Address: l.Addr().String(), Born: time.Now().UnixMilli(), Handle: handle, l: l, conns: map[net.Conn]bool{}}
	go s.serve()
	return s, nil
}

// Kill closes the listener and all connections.
func (s *Server) Kill() {
	s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) serve() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.mu.Unlock()
		go s.conn(c)
	}
}

func (s *Server) conn(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		req := &Request{Request: r, ID: r.Header.Get(HeaderID), Conn: c, Reader: br, Server: s}
		if r.URL.Path == path("rep"+"ort") {
			body := fmt.Sprintf(`{"Stage":"colocated","Models":[],"Busy":false,"Seq":0,"QueueDepth":0,"InFlight":0,"KvUsed":0,"KvTotal":8000000,"Handles":0,"pace":1,"born":%d%s}`, s.Born, s.Report)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\nKeep-Alive: timeout=15\r\n\r\n%s", len(body), body)
			continue
		}
		if r.URL.Path == "/healthz" {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance: %s\r\nContent-Length: 0\r\n\r\n", s.ID)
			continue
		}
		if req.ID == "" {
			fmt.Fprintf(c, "HTTP/1.1 400 No id\r\n%s: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", HeaderNotRun)
			return
		}
		if x := r.Header.Get(HeaderExpect); x != "" && x != s.ID {
			io.Copy(io.Discard, r.Body)
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", HeaderID, req.ID, HeaderNotRun)
			continue
		}
		if s.EarlyHead != nil {
			if s.EarlyHead(req) {
				continue
			}
		}
		if req.Body, err = io.ReadAll(r.Body); err != nil {
			return
		}
		if !s.Handle(req) {
			return
		}
	}
}

// Answer writes a whole answer.
func (r *Request) Answer(status int, body string, header ...string) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d X\r\n%s: %s\r\nContent-Length: %d\r\nKeep-Alive: timeout=15\r\n", status, HeaderID, r.ID, len(body))
	for _, h := range header {
		b.WriteString(h + "\r\n")
	}
	b.WriteString("\r\n" + body)
	_, err := io.WriteString(r.Conn, b.String())
	return err == nil
}

// Answer of a client's request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Err    error // the connection ended, or the answer is not whole
	Took   time.Duration
}

// Do sends one request on a new connection and reads the answer.
func Do(address, method, target, host, id string, body []byte, timeout time.Duration, header ...string) Answer {
	began := time.Now()
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return Answer{Err: err}
	}
	defer c.Close()
	c.SetDeadline(began.Add(timeout))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n", method, target, host, HeaderID, id, HeaderDeadline, timeout.Milliseconds())
	if len(body) > 0 || method == "POST" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(body))
	}
	for _, h := range header {
		b.WriteString(h + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(body)
	go c.Write(b.Bytes())
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return Answer{Err: err, Took: time.Since(began)}
	}
	data, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: data, Err: err, Took: time.Since(began)}
}
