package rig

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"syscall"
)

// ServerProcess is a server in a process of its own.
type ServerProcess struct {
	ID, Address string
	Born        int64
	cmd         *exec.Cmd
	stdin       io.Closer
}

// StartServerProcess runs this program again with the word "server", the server's id and an address.
// The process calls RunServer. What it prints later is passed to line.
func StartServerProcess(id, address string, line func(string)) (*ServerProcess, error) {
	p := &ServerProcess{ID: id, cmd: exec.Command(os.Args[0], "server", id, address)}
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	var err error
	if p.stdin, err = p.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, errors.New("server " + id + " has not started")
	}
	if _, err := fmt.Sscan(lines.Text(), &p.Address, &p.Born); err != nil {
		return nil, err
	}
	go func() {
		for lines.Scan() {
			line(lines.Text())
		}
	}()
	return p, nil
}

// Kill ends the process, as a crash does.
func (p *ServerProcess) Kill() {
	_ = p.cmd.Process.Signal(syscall.SIGKILL)
	_ = p.cmd.Wait()
}

// RunServer serves in a process that StartServerProcess has started, until that ends it.
func RunServer(handle func(r *Request) bool, report string) int {
	srv, err := StartServer(os.Args[2], os.Args[3], handle)
	if err != nil {
		return CannotRun(err)
	}
	srv.Report = report
	fmt.Println(srv.Address, srv.Born)
	_, _ = io.Copy(io.Discard, os.Stdin)
	return 0
}
