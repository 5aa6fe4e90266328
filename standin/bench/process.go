package bench

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// process is a child process that can be started again after it exited. It is
// safe for concurrent use.
type process struct {
	name      string
	path      string
	args      []string
	env       []string
	logPath   string // file that its output is appended to
	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{} // closed when cmd has exited
	shouldRun bool          // started, and not signalled to end since
}

// errAlreadyRunning is the error of starting a process that is already running.
var errAlreadyRunning = errors.New("process is already running")

// start starts the process. The kernel kills it if this process dies.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return errors.Wrap(errAlreadyRunning, p.name)
	}
	output, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer output.Close()
	cmd := exec.Command(p.path, p.args...)
	cmd.Env = append(os.Environ(), p.env...)
	cmd.Stdout = output
	cmd.Stderr = output
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return errors.Wrapf(err, "%s", filepath.Base(p.path))
	}
	exited := make(chan struct{})
	p.cmd, p.exited, p.shouldRun = cmd, exited, true
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// running reports whether the process is started and hasn't exited. The caller
// holds mu.
func (p *process) running() bool {
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// exitedUnexpectedly reports whether the process exited without being
// ended by the bench.
func (p *process) exitedUnexpectedly() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.shouldRun && !p.running()
}

// signal sends a signal if the process runs.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		p.shouldRun = false
	}
	if p.running() {
		_ = p.cmd.Process.Signal(signal)
	}
}

// stop ends the process: by SIGTERM if grace is positive, and by SIGKILL if it
// still runs after that time.
func (p *process) stop(grace time.Duration) {
	if grace > 0 {
		p.signal(syscall.SIGTERM)
		if p.wait(grace) {
			return
		}
	}
	p.signal(syscall.SIGKILL)
	p.wait(killTimeout)
}

// killTimeout is the longest wait for a killed process to exit.
const killTimeout = 5 * time.Second

// wait waits for the process to exit, no longer than the given time, and reports
// whether it has.
func (p *process) wait(atMost time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	if exited == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), atMost)
	defer cancel()
	select {
	case <-exited:
		return true
	case <-ctx.Done():
		return false
	}
}
