// Package localfleet starts built binaries on loopback. It is used by tests,
// demo and bench only. It ends only processes that it started.
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

// Process is a started binary. Restart starts it again with the same
// arguments.
type Process struct {
	Name    string
	LogFile string
	binary  string
	args    []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when the current run has ended
	code int
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
	// The process ends with the driver that started it.
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
	p.code = cmd.ProcessState.ExitCode()
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

// Signal sends a signal to the running process, and nothing if it has ended.
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

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.Signal(syscall.SIGKILL)
	<-p.Done()
}

// Freeze stops the process from running until Thaw.
func (p *Process) Freeze() error { return p.Signal(syscall.SIGSTOP) }

// Thaw lets a frozen process run again.
func (p *Process) Thaw() error { return p.Signal(syscall.SIGCONT) }

// Terminate asks the process to end and returns its exit code.
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
	return p.code, nil
}

// Done is closed when the process has ended. It is closed already if the
// process was never started.
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

// Log returns the output of all runs.
func (p *Process) Log() string {
	raw, err := os.ReadFile(p.LogFile)
	if err != nil {
		return err.Error()
	}
	return string(raw)
}

// poll calls ready until it returns nil, the process ends or ctx ends.
func (p *Process) poll(ctx context.Context, ready func() error) error {
	for {
		err := ready()
		if err == nil {
			return nil
		}
		select {
		case <-time.After(pollPeriod):
		case <-p.Done():
			return trace.BadParameter("%s ended: %s", p.Name, lastLines(p.Log()))
		case <-ctx.Done():
			return trace.Wrap(err, "%s is not ready: %s", p.Name, lastLines(p.Log()))
		}
	}
}

func lastLines(text string) string {
	const shown = 2000
	if len(text) > shown {
		return text[len(text)-shown:]
	}
	return text
}
