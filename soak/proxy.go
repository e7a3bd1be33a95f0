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

// impairment is a fault that a proxy applies to its connections. The zero value
// is none.
type impairment struct {
	// delay is added to each read, in either direction.
	delay time.Duration
	// holdToTarget holds back the data sent to the target, holdFromTarget the
	// data from it.
	holdToTarget, holdFromTarget bool
	// refuse resets new connections.
	refuse bool
}

// proxy forwards TCP connections to a target.
type proxy struct {
	ln     net.Listener
	target string
	wait   sync.WaitGroup

	mu      sync.Mutex
	current impairment
	changed chan struct{} // closed when current changes
	conns   map[*net.TCPConn]bool
}

const copyBufferBytes = 16 << 10

func newProxy(listen, target string) (*proxy, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, eris.Wrap(err, "cannot start a proxy")
	}
	p := &proxy{ln: ln, target: target, changed: make(chan struct{}), conns: map[*net.TCPConn]bool{}}
	p.wait.Go(p.accept)
	return p, nil
}

func (p *proxy) close() {
	_ = p.ln.Close()
	p.setImpairment(impairment{})
	p.resetConns()
	p.wait.Wait()
}

// setImpairment changes the impairment of open and new connections.
func (p *proxy) setImpairment(i impairment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = i
	close(p.changed)
	p.changed = make(chan struct{})
}

// resetConns closes all open connections with a reset.
func (p *proxy) resetConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		resetConn(c)
	}
}

// resetConn closes a connection with a reset.
func resetConn(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

func (p *proxy) currentImpairment() (impairment, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current, p.changed
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

func (p *proxy) serve(client *net.TCPConn) {
	if i, _ := p.currentImpairment(); i.refuse {
		resetConn(client)
		return
	}
	raw, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		resetConn(client)
		return
	}
	server := raw.(*net.TCPConn)
	p.mu.Lock()
	p.conns[client], p.conns[server] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { p.copyDirection(server, client, func(i impairment) bool { return i.holdToTarget }) })
	both.Go(func() { p.copyDirection(client, server, func(i impairment) bool { return i.holdFromTarget }) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, client)
	delete(p.conns, server)
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// copyDirection copies one direction of a connection and waits while isHeld
// returns true. It forwards an end of the data as such, and a reset as a reset.
func (p *proxy) copyDirection(to, from *net.TCPConn, isHeld func(impairment) bool) {
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buf)
		i, changed := p.currentImpairment()
		for isHeld(i) {
			<-changed
			i, changed = p.currentImpairment()
		}
		if i.delay > 0 {
			time.Sleep(i.delay)
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				resetConn(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			resetConn(to)
			return
		}
	}
}
