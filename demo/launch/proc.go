package launch

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

const (
	pollEvery = 25 * time.Millisecond
	pageTime  = 2 * time.Second
	tailSize  = 2000 // bytes of a log shown after a failure
)

// Proc is one process of the system.
type Proc struct {
	Name string
	// Addr is where it listens.
	Addr string
	// AdminAddr is the address of its health pages; empty for stand-ins.
	AdminAddr string

	path string
	args []string
	log  string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Start starts the process, also again after it has ended.
func (p *Proc) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "cannot write a log file")
	}
	defer func() { _ = out.Close() }() // the child has its own descriptor
	cmd := exec.Command(p.path, p.args...)
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		return eris.Wrapf(err, "cannot start %s; run make build", p.Name)
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		err := cmd.Wait()
		p.mu.Lock()
		p.err = err
		p.mu.Unlock()
		close(done)
	}()
	return nil
}

// PID returns the id of the process, or 0 before it was started.
func (p *Proc) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Signal sends a signal to a running process.
func (p *Proc) Signal(sig os.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return errors.New(p.Name + " was not started")
	}
	err := p.cmd.Process.Signal(sig)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// Kill ends the process at once, as kill -9 does, and waits for its end.
func (p *Proc) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.Done()
	return nil
}

// Done is closed when the process has ended.
func (p *Proc) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Wait waits for the end of the process and returns an error unless its exit
// code is 0.
func (p *Proc) Wait(ctx context.Context) error {
	select {
	case <-p.Done():
	case <-ctx.Done():
		return fmt.Errorf("%s has not ended in time:\n%s", p.Name, p.LogTail())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.err != nil {
		return fmt.Errorf("%s: %w:\n%s", p.Name, p.err, p.LogTail())
	}
	return nil
}

// LogTail returns the end of the log.
func (p *Proc) LogTail() string {
	data, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-tailSize):])
}

// ready waits until the process says that it is ready, or, without health
// pages, until it accepts connections.
func (p *Proc) ready(ctx context.Context) error {
	return p.poll(ctx, "ready", func() bool {
		if p.AdminAddr != "" {
			return get(ctx, "http://"+p.AdminAddr+"/readyz", nil) == nil
		}
		conn, err := net.DialTimeout("tcp", p.Addr, pageTime)
		if err == nil {
			_ = conn.Close()
		}
		return err == nil
	})
}

func (p *Proc) poll(ctx context.Context, what string, f func() bool) error {
	return poll(ctx, func() (bool, error) {
		select {
		case <-p.Done():
			return false, fmt.Errorf("%s ended before it was %s:\n%s", p.Name, what, p.LogTail())
		default:
		}
		return f(), nil
	}, func() string { return fmt.Sprintf("%s is not %s:\n%s", p.Name, what, p.LogTail()) })
}

// poll asks f until it is true, fails, or ctx ends; then late tells what is
// missing.
func poll(ctx context.Context, f func() (bool, error), late func() string) error {
	tick := time.NewTicker(pollEvery)
	defer tick.Stop()
	for {
		if ok, err := f(); ok || err != nil {
			return err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.New(late())
		}
	}
}

func get(ctx context.Context, url string, read func(*http.Response) error) error {
	ctx, cancel := context.WithTimeout(ctx, pageTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("%s has status %d", url, resp.StatusCode)
	}
	if read == nil {
		return nil
	}
	return read(resp)
}

// proc prepares a process of a program.
func (s *System) proc(name, program, addr string, args ...string) *Proc {
	p := &Proc{
		Name: name, Addr: addr, path: filepath.Join(s.bin, program), args: args,
		log: filepath.Join(s.dir, strings.ReplaceAll(name, "/", "-")+".log"),
	}
	s.all = append(s.all, p)
	return p
}

// framed prepares a process that has the common settings.
func (s *System) framed(name, program, zone, addr string, args ...string) *Proc {
	admin := s.port()
	common := []string{
		"--name", name, "--zone", zone, "--admin", admin, "--keys", s.keys, "--listen", addr,
		"--grace", "200ms", "--deadline", stopTime.String(),
	}
	p := s.proc(name, program, addr, append(common, args...)...)
	p.AdminAddr = admin
	return p
}
