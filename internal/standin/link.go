package standin

import (
	"fmt"
	"net"
	"syscall"
	"time"
)

const (
	linkBacklog     = 128
	linkDialTimeout = 100 * time.Millisecond
	maxLinkFillers  = 16
)

// linkFault is the state of a link that drops everything.
type linkFault struct {
	listener net.Listener
	restored chan struct{} // closed when the link works again; nil while it does
	fillers  []net.Conn    // connections that keep the accept queue full
}

// DropLink makes the server's link drop everything while the server runs on: open
// connections carry no data any more, and attempts to connect are not answered.
func (e *endpoint) DropLink() error {
	e.mu.Lock()
	ln := e.link.listener
	e.link.restored = make(chan struct{})
	e.mu.Unlock()
	if err := setBacklog(ln, 0); err != nil {
		return err
	}
	// The kernel ignores attempts to connect while the accept queue is full. One ignored
	// attempt is not enough: the server may accept one more connection after it.
	ignored := 0
	for range maxLinkFillers {
		c, err := net.DialTimeout("tcp", e.address, linkDialTimeout)
		if err != nil {
			if ignored++; ignored == 2 {
				e.BlackholeConnections()
				return nil
			}
			continue
		}
		ignored = 0
		e.mu.Lock()
		e.link.fillers = append(e.link.fillers, c)
		e.mu.Unlock()
	}
	return fmt.Errorf("drop link: %s still accepts connections", e.address)
}

// RestoreLink ends DropLink. Connections that were open stay silent.
func (e *endpoint) RestoreLink() error {
	e.restoreLink()
	e.mu.Lock()
	defer e.mu.Unlock()
	return setBacklog(e.link.listener, linkBacklog)
}

func (e *endpoint) restoreLink() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.link.restored == nil {
		return
	}
	close(e.link.restored)
	e.link.restored = nil
	for _, c := range e.link.fillers {
		_ = c.Close()
	}
	e.link.fillers = nil
}

// awaitLink waits while the link drops everything.
func (e *endpoint) awaitLink() {
	e.mu.Lock()
	restored := e.link.restored
	e.mu.Unlock()
	if restored != nil {
		<-restored
	}
}

// setBacklog changes the length of a listener's accept queue.
func setBacklog(ln net.Listener, n int) error {
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), n) }); err != nil {
		return err
	}
	return listenErr
}
