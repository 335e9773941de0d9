package harness

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// pollInterval is the time between two checks of a condition.
	pollInterval = 10 * time.Millisecond
	// startTimeout is the time in which a started process has to respond and to
	// read the tickets.
	startTimeout = 15 * time.Second
)

// Process is a started program.
type Process struct {
	Name    string
	LogPath string // file with standard output and standard error

	command   *exec.Cmd
	exited    chan struct{}
	mu        sync.Mutex
	exitError error
}

// startProcess is StartProcess without additional environment variables.
func startProcess(directory, name, binary string, arguments []string) (*Process, error) {
	return StartProcess(directory, name, binary, arguments, nil)
}

// StartProcess starts a binary with additional environment variables and appends
// its output to directory/name.log.
func StartProcess(directory, name, binary string, arguments, environment []string) (*Process, error) {
	p := &Process{Name: name, LogPath: filepath.Join(directory, name+".log"), exited: make(chan struct{})}
	file, err := os.OpenFile(p.LogPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	p.command = exec.Command(binary, arguments...)
	p.command.Stdout, p.command.Stderr = file, file
	p.command.Env = append(environmentWithoutSettings(), environment...)
	// The kernel kills the process when the thread that started it exits, also
	// if the harness crashes.
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.command.Start(); err != nil {
		return nil, fmt.Errorf("harness: start %s: %w", name, err)
	}
	go func() {
		err := p.command.Wait()
		p.mu.Lock()
		p.exitError = err
		p.mu.Unlock()
		close(p.exited)
	}()
	return p, nil
}

// environmentWithoutSettings returns the environment without the variables that
// change an instance's settings.
func environmentWithoutSettings() []string {
	var kept []string
	for _, entry := range os.Environ() {
		if !strings.HasPrefix(entry, "HIBISCUSSTAIR_") {
			kept = append(kept, entry)
		}
	}
	return kept
}

// PID returns the process ID.
func (p *Process) PID() int { return p.command.Process.Pid }

// Alive reports whether the process is running or paused.
func (p *Process) Alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Exited is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// ExitError waits for the exit and returns its error, nil for exit code 0.
func (p *Process) ExitError() error {
	<-p.exited
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exitError
}

// Kill sends SIGKILL and waits for the exit.
func (p *Process) Kill() {
	_ = p.command.Process.Kill()
	<-p.exited
}

// Pause sends SIGSTOP.
func (p *Process) Pause() { _ = p.command.Process.Signal(syscall.SIGSTOP) }

// Continue sends SIGCONT.
func (p *Process) Continue() { _ = p.command.Process.Signal(syscall.SIGCONT) }

// Hangup sends SIGHUP.
func (p *Process) Hangup() { _ = p.command.Process.Signal(syscall.SIGHUP) }

// Terminate sends SIGTERM and doesn't wait.
func (p *Process) Terminate() { _ = p.command.Process.Signal(syscall.SIGTERM) }

// waitUntilOK waits until a GET returns status 200.
func (p *Process) waitUntilOK(ctx context.Context, url string) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		if respondsOK(ctx, url) {
			return nil
		}
		select {
		case <-p.exited:
			return fmt.Errorf("harness: %s exited before it was ready: %v; see %s", p.Name, p.ExitError(), p.LogPath)
		case <-ctx.Done():
			return fmt.Errorf("harness: %s did not return status 200 for %s before the timeout; see %s", p.Name, url, p.LogPath)
		case <-time.After(pollInterval):
		}
	}
}

// respondsOK reports whether a GET returns status 200 within a second.
func respondsOK(ctx context.Context, url string) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}
