// Package localfleet runs a fleet from built binaries on loopback, for tests, demo
// and bench. It ends only processes that it started.
package localfleet

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// Process runs a binary. After the process has ended, Start runs it again with
// the same arguments.
type Process struct {
	Name    string
	LogFile string
	binary  string
	args    []string

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{} // closed when the current run has ended
	exitCode int
}

func newProcess(workDir, name, binary string, args ...string) *Process {
	return &Process{Name: name, LogFile: filepath.Join(workDir, name+".log"), binary: binary, args: args}
}

// Start starts the binary. Its output is appended to the log file.
func (p *Process) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return trace.Wrap(err)
	}
	defer log.Close()
	cmd := exec.Command(p.binary, p.args...)
	cmd.Stdout = log
	cmd.Stderr = log
	// The kernel kills the process when the program that started it ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return trace.Wrap(err)
	}
	p.cmd = cmd
	p.done = make(chan struct{})
	go p.wait(cmd, p.done)
	return nil
}

func (p *Process) wait(cmd *exec.Cmd, done chan struct{}) {
	_ = cmd.Wait()
	p.mu.Lock()
	p.exitCode = cmd.ProcessState.ExitCode()
	p.mu.Unlock()
	close(done)
}

// PID returns the process id of the current run, or 0 before the first start.
func (p *Process) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Signal sends a signal to the process. It does nothing if the process has ended
// or was never started.
func (p *Process) Signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil
	}
	select {
	case <-p.done:
		return nil
	default:
		return trace.Wrap(p.cmd.Process.Signal(s))
	}
}

// Kill sends SIGKILL and waits until the process has ended.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.Done()
}

// Suspend suspends the process with SIGSTOP until Resume.
func (p *Process) Suspend() error { return p.Signal(syscall.SIGSTOP) }

// Resume resumes a suspended process with SIGCONT.
func (p *Process) Resume() error { return p.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM and returns the exit code. It fails if the process does
// not end within limit.
func (p *Process) Terminate(limit time.Duration) (int, error) {
	if err := p.Signal(syscall.SIGTERM); err != nil {
		return 0, trace.Wrap(err)
	}
	select {
	case <-p.Done():
	case <-time.After(limit):
		return 0, trace.LimitExceeded("%s did not end within %s", p.Name, limit)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitCode, nil
}

// Done returns a channel that is closed when the process has ended. For a process
// that was never started, it is closed already.
func (p *Process) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.done == nil {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return p.done
}

// Log returns the output of all runs, or the error of reading it.
func (p *Process) Log() string {
	raw, err := os.ReadFile(p.LogFile)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// pollUntil calls condition every pollPeriod until it returns nil, the process
// ends or ctx ends.
func (p *Process) pollUntil(ctx context.Context, condition func() error) error {
	for {
		err := condition()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollPeriod):
		case <-p.Done():
			return trace.BadParameter("%s ended while it was awaited: %s", p.Name, logTail(p.Log()))
		case <-ctx.Done():
			return trace.Wrap(err, "%s is not ready: %s", p.Name, logTail(p.Log()))
		}
	}
}

// logTail returns the last 2000 bytes of text.
func logTail(text string) string {
	const maxBytes = 2000
	if len(text) > maxBytes {
		return text[len(text)-maxBytes:]
	}
	return text
}
