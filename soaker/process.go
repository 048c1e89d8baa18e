package soaker

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// process is one instance that runs as an operating system process.
type process struct {
	id          string
	ip          string
	domain      string
	program     string
	environment string
	logPath     string
	// store is the proxy on the instance's link to the store.
	store *proxy
	// disturbances are the spans in which time bounds are not checked for the instance.
	disturbances disturbances
	// rerouting holds the spans in which requests at the instance may be sent on by others.
	rerouting disturbances

	mu      sync.Mutex
	command *exec.Cmd
	// exited is closed when the current process has exited.
	exited chan struct{}
	// starts is the number of starts so far.
	starts int
	// isClaimed is true while a fault holds the exclusive right to signal the process.
	isClaimed bool
	// stopStartedAt is when the planned stop of the current process began, or zero if there
	// was none. The next start clears it.
	stopStartedAt time.Time
}

// start starts the process.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(p.logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return fmt.Errorf("log of %s: %w", p.id, err)
	}
	command := exec.Command(p.program, "hosted")
	command.Env = append(os.Environ(), p.environment)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		_ = log.Close()
		return fmt.Errorf("start %s: %w", p.id, err)
	}
	exited := make(chan struct{})
	p.command, p.exited = command, exited
	p.starts++
	p.stopStartedAt = time.Time{}
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// setProgram sets the program of the next starts.
func (p *process) setProgram(program string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.program = program
}

// signal sends a signal to the current process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s)
}

// markStopStart records that a planned stop begins.
func (p *process) markStopStart() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopStartedAt = time.Now()
}

// isInPlannedStop reports whether an attempt was in progress during a planned stop that
// was otherwise undisturbed.
func (p *process) isInPlannedStop(s *sentAttempt) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stopStartedAt.IsZero() && p.starts == s.start && !p.disturbances.covers(s.sentAt) && time.Now().Before(p.stopStartedAt.Add(stopGrace))
}

// isRunning reports whether the process runs.
func (p *process) isRunning() bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return false
	default:
		return true
	}
}

// processID returns the ID of the current process.
func (p *process) processID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil || p.command.Process == nil {
		return 0
	}
	return p.command.Process.Pid
}

// awaitExit waits for the process to exit and reports whether it did within limit.
func (p *process) awaitExit(limit time.Duration) bool {
	p.mu.Lock()
	exited := p.exited
	p.mu.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// exitStatus returns the exit status of a process that has exited.
func (p *process) exitStatus() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.ProcessState.ExitCode()
}

// startNumber returns the number of the current or last start, from 1 on.
func (p *process) startNumber() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

func logPath(folder, id string) string { return filepath.Join(folder, id+".log") }
