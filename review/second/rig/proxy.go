package rig

import (
	"net"
	"sync"
	"time"
)

// Proxy forwards connections to an address, and can stop to carry anything.
type Proxy struct {
	Address string
	target  string
	mu      sync.Mutex
	silent  bool
}

// StartProxy starts a proxy at an address.
func StartProxy(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: l.Addr().String(), target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

// Silence makes the proxy carry nothing, as a link that is cut; what is sent meanwhile is delivered once it ends.
func (p *Proxy) Silence(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = on
}

func (p *Proxy) isSilent() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.silent
}

func (p *Proxy) await() {
	for p.isSilent() {
		time.Sleep(2 * time.Millisecond)
	}
}

func (p *Proxy) serve(c net.Conn) {
	defer c.Close()
	p.await()
	s, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer s.Close()
	done := make(chan struct{}, 2)
	carry := func(to, from net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			p.await()
			if n > 0 {
				if _, werr := to.Write(buf[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go carry(s, c)
	go carry(c, s)
	<-done
}
