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

// process is one child process that can be started again.
type process struct {
	name   string
	path   string
	args   []string
	env    []string
	log    string // file that its output is appended to
	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{} // closed when cmd has exited
	wanted bool          // false once we ended it ourselves
}

// errRunning: the process runs already.
var errRunning = errors.New("runs already")

// start starts the process, which dies with ours.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running() {
		return errors.Wrap(errRunning, p.name)
	}
	output, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
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
	p.cmd, p.exited, p.wanted = cmd, exited, true
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// running reports whether the process lives. The caller holds mu.
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

// died reports whether the process ended without our doing.
func (p *process) died() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.wanted && !p.running()
}

// signal sends a signal if the process lives.
func (p *process) signal(signal syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		p.wanted = false
	}
	if p.running() {
		_ = p.cmd.Process.Signal(signal)
	}
}

// stop ends the process: gently first if grace is positive, then by SIGKILL.
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

// killTimeout is the time that a killed process takes to go at most.
const killTimeout = 5 * time.Second

// wait waits for the process to exit and reports whether it did.
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
