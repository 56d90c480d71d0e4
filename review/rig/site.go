package rig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the settings of a small deployment.
const (
	GraceS       = 8
	DrainMs      = 2000
	StableMs     = 3000
	MemoryMb     = 284
	MaxFds       = 4100
	LossSlackMs  = 200
	restartDelay = 500 * time.Millisecond
)

// deployCommand is the `run` of the deploy file.
var deployCommand = []string{"target/hibiscusd", "gateway", "--metrics-port"}

// Daemon is one daemon of a site.
type Daemon struct {
	Name, Zone       string
	Front, Directory string
	ready            string
	metricsPort      int
	settings, log    string

	mu       sync.Mutex
	cmd      *exec.Cmd
	ended    chan struct{}
	terms    []time.Time // when it got SIGTERM
	stopping bool        // an end of the process is expected
	exits    []string    // ends of its own
}

// Site is a store with daemons before it.
type Site struct {
	Root  string // of the repository
	Dir   string // temporary folder
	Store *Store
	Rec   *Record

	Daemons []*Daemon

	mu      sync.Mutex
	helpers []*exec.Cmd
	closed  bool
}

// Helper starts another process of the site, which Close kills.
func (s *Site) Helper(cmd *exec.Cmd) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errClosed
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	s.helpers = append(s.helpers, cmd)
	return nil
}

var errClosed = errors.New("the site is closed")

// NewSite starts a store and no daemon yet.
func NewSite(rec *Record) (*Site, error) {
	root, err := repositoryRoot()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	store, err := StartStore()
	if err != nil {
		return nil, err
	}
	return &Site{Root: root, Dir: dir, Store: store, Rec: rec}, nil
}

func repositoryRoot() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for ; dir != "/"; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "deploy", "system.toml")); err == nil {
			return dir, nil
		}
	}
	return "", fmt.Errorf("no deploy/system.toml above the working folder")
}

// daemonIP returns the loopback address of the n-th daemon. Each has one of its own, as a machine has:
// its ports are then not taken by the connections of others.
func daemonIP(n int) string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 64+pid/250%128, 1+pid%250, n)
}

// freePort returns a free port of a loopback address.
func freePort(ip string) int {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// AddDaemon writes the settings of a daemon, rendered from the template of the deploy file, and
// starts it.
func (s *Site) AddDaemon(zone string) (*Daemon, error) {
	ip := daemonIP(len(s.Daemons) + 1)
	address := func() string { return fmt.Sprintf("%s:%d", ip, freePort(ip)) }
	d := &Daemon{
		Name: fmt.Sprintf("edge-%s-%d", zone, len(s.Daemons)+1), Zone: zone,
		Front: address(), Directory: address(), ready: address(), metricsPort: freePort(ip),
	}
	peers := freePort(ip)
	settings := map[string]any{
		"Node": d.Name, "Role": "gateway", "MachineClass": "edge", "Serves": []string{"edge", "directory"},
		"Ip": ip, "Zone": zone, "Region": "kerala-south", "PortRange": []int{peers, peers},
		"Seeds": []string{}, "Bootstrap": true, "InTolerance": false, "Discovery": "platform", "Entry": "directory", "HeartbeatMs": 1200,
		"Listen": map[string]any{"Front": d.Front, "Readiness": d.ready, "Directory": d.Directory},
		"Limits": map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": MemoryMb, "MaxFds": MaxFds, "LinkMbps": 1000.0, "DiskMb": 0},
		"Bounds": map[string]any{
			"SeedLagS": 3, "AddrReuseS": 2, "StableMs": StableMs, "AckMs": 4000, "CatchUpS": 4, "DrainMs": DrainMs, "GraceS": GraceS,
			"LossSlackMs": LossSlackMs, "ConfigApplyMs": 2000, "RollbackSlackMs": 250, "MaxStretchMs": 5000, "StrictRevoke": false,
			"RevokeMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10, "RetrySlack": 198, "RecoveryS": 12, "PassMs": 120,
			"RetryAfterS": 0, "stall_ms": 2500, "RequireFence": true, "ttl_max_s": 5,
		},
		"Platform": map[string]any{
			"Address": s.Store.Address, "form": "table", "WritesPerS": 400, "ReadsPerS": 2000, "TxMs": 5.0, "PartWritesPerS": 200,
			"RowBytes": 65536, "Across": false, "HistoryS": 20,
		},
	}
	data, err := json.Marshal(settings)
	if err != nil {
		return nil, err
	}
	template, err := os.ReadFile(filepath.Join(s.Root, "deploy", "settings.json"))
	if err != nil {
		return nil, err
	}
	rendered := strings.ReplaceAll(string(template), "{{.|json}}", string(data))
	d.settings, d.log = filepath.Join(s.Dir, d.Name+".json"), filepath.Join(s.Dir, d.Name+".log")
	if err := os.WriteFile(d.settings, []byte(rendered), 0o600); err != nil {
		return nil, err
	}
	s.Daemons = append(s.Daemons, d)
	return d, s.start(d)
}

// start starts the process of a daemon, as the deploy file does.
func (s *Site) start(d *Daemon) error {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	// The shell sets the limit of descriptors that the settings name, and becomes the daemon.
	command := fmt.Sprintf("ulimit -n %d && exec %s %d", MaxFds, strings.Join(deployCommand, " "), d.metricsPort)
	cmd := exec.Command("sh", "-c", command)
	cmd.Dir = s.Root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), settingsVar + "=" + d.settings}
	cmd.Stdout, cmd.Stderr = log, log
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return errClosed
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.cmd, d.ended, d.stopping = cmd, ended, false
	d.mu.Unlock()
	go func() {
		err := cmd.Wait()
		d.mu.Lock()
		if !d.stopping {
			d.exits = append(d.exits, fmt.Sprint(err))
			s.Rec.Add("daemon %s ended by itself: %v", d.Name, err)
		}
		d.mu.Unlock()
		close(ended)
	}()
	return nil
}

// Pid returns the process id of a daemon.
func (d *Daemon) Pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.cmd.Process.Pid
}

// Exits returns how often the daemon's process ended by itself.
func (d *Daemon) Exits() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.exits)
}

// Signal sends a signal to a daemon that goes on running.
func (d *Daemon) Signal(sig syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.cmd.Process.Signal(sig)
}

// ResidentMb returns the resident memory of the daemon's process in MB.
func (d *Daemon) ResidentMb() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", d.Pid()))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}

// Kill ends the process of a daemon, as the platform does where it exceeds a limit, and starts it again.
func (s *Site) Kill(d *Daemon) error {
	d.mu.Lock()
	d.stopping = true
	ended := d.ended
	_ = d.cmd.Process.Kill()
	d.mu.Unlock()
	<-ended
	time.Sleep(restartDelay)
	return s.start(d)
}

// Restart sends SIGTERM, and SIGKILL after the grace time, and starts the process again after its end.
func (s *Site) Restart(d *Daemon) {
	d.mu.Lock()
	d.stopping = true
	d.terms = append(d.terms, time.Now())
	ended := d.ended
	_ = d.cmd.Process.Signal(syscall.SIGTERM)
	d.mu.Unlock()
	s.Rec.Add("SIGTERM to %s", d.Name)
	select {
	case <-ended:
	case <-time.After(GraceS * time.Second):
		d.Signal(syscall.SIGKILL)
		<-ended
	}
	s.Rec.Add("%s has ended", d.Name)
	time.Sleep(restartDelay)
	if err := s.start(d); err != nil {
		s.Rec.Add("%s doesn't start: %v", d.Name, err)
	}
}

// LastTerm returns the last SIGTERM of a daemon before a time, and false if there was none.
func (d *Daemon) LastTerm(before time.Time) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := len(d.terms) - 1; i >= 0; i-- {
		if d.terms[i].Before(before) {
			return d.terms[i], true
		}
	}
	return time.Time{}, false
}

// AwaitReady waits until all daemons are ready.
func (s *Site) AwaitReady(limit time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for _, d := range s.Daemons {
		for !d.IsReady() {
			if ctx.Err() != nil {
				return fmt.Errorf("%s isn't ready after %v", d.Name, limit)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// readiness is the platform's client of the readiness checks.
var readiness = http.Client{Timeout: time.Second}

// IsReady asks the readiness check.
func (d *Daemon) IsReady() bool {
	resp, err := readiness.Get("http://" + d.ready + pathReady)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Sockets returns how many descriptors the daemon's process has open.
func (d *Daemon) Sockets() int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", d.Pid()))
	if err != nil {
		return 0
	}
	return len(entries)
}

// Close ends all processes of the site and removes its folder.
func (s *Site) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	for _, d := range s.Daemons {
		d.mu.Lock()
		d.stopping = true
		cmd, ended := d.cmd, d.ended
		d.mu.Unlock()
		if cmd != nil {
			_ = cmd.Process.Kill()
			<-ended
		}
	}
	for _, h := range s.helpers {
		_ = h.Process.Kill()
		_ = h.Wait()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.Dir)
	} else {
		fmt.Println("kept", s.Dir)
	}
}
