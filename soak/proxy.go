package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"
)

// impairment is what a proxy does to its connections.
type impairment struct {
	// delay is added to each piece of data, in either direction.
	delay time.Duration
	// hold keeps back what is sent to the target, holdBack what comes from it.
	hold, holdBack bool
	// refuse resets new connections.
	refuse bool
}

// proxy passes connections on to a target.
type proxy struct {
	ln     net.Listener
	target string
	wait   sync.WaitGroup

	mu     sync.Mutex
	state  impairment
	change chan struct{} // closed at the next change of state
	conns  map[*net.TCPConn]bool
}

const pieceSize = 16 << 10 // bytes that are passed on at once

func newProxy(listen, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, eris.Wrap(err, "cannot start a proxy")
	}
	p := &proxy{ln: ln, target: target, change: make(chan struct{}), conns: map[*net.TCPConn]bool{}}
	p.wait.Go(p.accept)
	return p, nil
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.set(impairment{})
	p.reset()
	p.wait.Wait()
}

// set changes the impairment of open and new connections.
func (p *proxy) set(i impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = i
	close(p.change)
	p.change = make(chan struct{})
}

// reset breaks off all connections.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		breakOff(c)
	}
}

// breakOff closes a connection with a reset.
func breakOff(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (p *proxy) look() (impairment, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.change
}

func (p *proxy) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) {
				klog.ErrorS(err, "Proxy ended", "listen", p.ln.Addr())
			}
			return
		}
		p.wait.Go(func() { p.serve(c.(*net.TCPConn)) })
	}
}

func (p *proxy) serve(near *net.TCPConn) {
	if i, _ := p.look(); i.refuse {
		breakOff(near)
		return
	}
	raw, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		breakOff(near)
		return
	}
	far := raw.(*net.TCPConn)
	p.mu.Lock()
	p.conns[near], p.conns[far] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.pass(far, near, func(i impairment) bool { return i.hold }) })
	both.Go(func() { p.pass(near, far, func(i impairment) bool { return i.holdBack }) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, near)
	delete(p.conns, far)
	p.mu.Unlock()
	_ = near.Close()
	_ = far.Close()
}

// pass copies one direction. An end of the data is passed on as such, a reset
// as a reset.
func (p *proxy) pass(to, from *net.TCPConn, held func(impairment) bool) {
	buf := make([]byte, pieceSize)
	for {
		n, err := from.Read(buf)
		i, change := p.look()
		for held(i) {
			<-change
			i, change = p.look()
		}
		if i.delay > 0 {
			time.Sleep(i.delay)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				breakOff(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			breakOff(to)
			return
		}
	}
}
