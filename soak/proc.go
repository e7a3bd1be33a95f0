package soak

import (
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"k8s.io/klog/v2"

	"citronledge.example/stub/users"
)

// program is one process of the system under test. It may be restarted many
// times.
type program struct {
	name, path, dir string
	node            users.Node
	args            []string

	mu     sync.Mutex
	cmd    *exec.Cmd // nil while the process is down
	exited chan struct{}
	starts int
}

// start writes the settings file and starts the process, unless it runs.
func (p *program) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	text, err := p.node.SettingsFile()
	if err != nil {
		return eris.Wrap(err, "cannot encode settings")
	}
	file := filepath.Join(p.dir, p.name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return eris.Wrap(err, "cannot write settings")
	}
	log, err := os.OpenFile(p.logFile(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return eris.Wrap(err, "cannot open the log")
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.path, append([]string{"--platform", "--admin", "127.0.0.1:0"}, p.args...)...)
	cmd.Env = append(os.Environ(), "CITRONLEDGE_NODE_FILE="+file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return eris.Wrap(err, "cannot start "+p.name)
	}
	p.cmd, p.exited = cmd, make(chan struct{})
	p.starts++
	go func(exited chan struct{}) {
		_ = cmd.Wait() // the outcome is in cmd.ProcessState
		close(exited)
	}(p.exited)
	return nil
}

func (p *program) logFile() string { return filepath.Join(p.dir, p.name+".log") }

// boot returns the number of the process's last start, counted from 1.
func (p *program) boot() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

// signal sends a signal to the process, unless it is down.
func (p *program) signal(s os.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	if err := p.cmd.Process.Signal(s); err != nil {
		klog.V(1).InfoS("Signal not sent", "process", p.name, "signal", s, "err", err)
	}
}

// kill kills the process and waits until it has exited.
func (p *program) kill() {
	p.signal(syscall.SIGKILL)
	_, _ = p.awaitExit(time.Minute)
}

// awaitExit waits for a process that was signalled to exit and returns its exit
// code; ok is false if it still runs after limit.
func (p *program) awaitExit(limit time.Duration) (code int, ok bool) {
	p.mu.Lock()
	cmd, exited := p.cmd, p.exited
	p.mu.Unlock()
	if cmd == nil {
		return 0, true
	}
	select {
	case <-exited:
	case <-time.After(limit):
		return 0, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == cmd {
		p.cmd = nil
	}
	return cmd.ProcessState.ExitCode(), true
}

// crashed reports whether the process has exited by itself, and not been killed
// by a signal.
func (p *program) crashed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return p.cmd.ProcessState.ExitCode() >= 0 // -1: killed by a signal
	default:
		return false
	}
}
