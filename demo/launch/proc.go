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

	"citronledge.example/core/reply"
)

const (
	pollInterval = 25 * time.Millisecond
	getTimeout   = 2 * time.Second // for one page or one connection attempt
	logTailSize  = 2000            // bytes of a log shown after a failure
)

// Proc is one process of the system.
type Proc struct {
	Name string
	// Addr is the address that it listens on.
	Addr string
	// AdminAddr is the address of its health pages; empty for stubs.
	AdminAddr string

	path    string
	args    []string
	logFile string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Start starts the process. It may be called again after the process has ended.
func (p *Proc) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	out, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
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

// PID returns the process id, or 0 before Start.
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

// Kill sends SIGKILL and waits until the process has ended.
func (p *Proc) Kill() error {
	if err := p.Signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.Done()
	return nil
}

// Done returns a channel that is closed when the process has ended.
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
	data, err := os.ReadFile(p.logFile)
	if err != nil {
		return err.Error()
	}
	return string(data[max(0, len(data)-logTailSize):])
}

// waitReady waits until the process reports that it is ready or, if it has no
// health pages, until it accepts connections.
func (p *Proc) waitReady(ctx context.Context) error {
	return p.poll(ctx, "ready", func() bool {
		if p.AdminAddr != "" {
			return get(ctx, "http://"+p.AdminAddr+"/readyz", nil) == nil
		}
		conn, err := net.DialTimeout("tcp", p.Addr, getTimeout)
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

// poll calls f until it returns true or an error. When ctx ends first, it returns
// an error with the text of timeoutMessage.
func poll(ctx context.Context, f func() (bool, error), timeoutMessage func() string) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		if ok, err := f(); ok || err != nil {
			return err
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
			return errors.New(timeoutMessage())
		}
	}
}

// get requests a page and passes a response with status 200 to read, which may be
// nil.
func get(ctx context.Context, url string, read func(*http.Response) error) error {
	ctx, cancel := context.WithTimeout(ctx, getTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := reply.DefaultClient.Do(req)
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

// prepareProc prepares a process that runs a program.
func (s *System) prepareProc(name, program, addr string, args ...string) *Proc {
	p := &Proc{
		Name: name, Addr: addr, path: filepath.Join(s.bin, program), args: args,
		logFile: filepath.Join(s.dir, strings.ReplaceAll(name, "/", "-")+".log"),
	}
	s.all = append(s.all, p)
	return p
}

// prepareServer prepares a process that takes the settings common to gate, side and
// state processes.
func (s *System) prepareServer(name, program, zone, addr string, args ...string) *Proc {
	admin := s.freeAddr()
	common := []string{
		"--name", name, "--zone", zone, "--admin", admin, "--keys", s.keyFile, "--listen", addr,
		"--grace", "200ms", "--deadline", stopTimeout.String(),
	}
	p := s.prepareProc(name, program, addr, append(common, args...)...)
	p.AdminAddr = admin
	return p
}
