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

// process is one instance as a real process.
type process struct {
	id          string
	ip          string
	domain      string
	program     string
	environment string
	logPath     string
	// store is the instance's link to the store.
	store *proxy
	// disturbances are the spans in which time bounds do not hold for the instance.
	disturbances disturbances

	mu      sync.Mutex
	command *exec.Cmd
	// exited is closed when the process that runs now has ended.
	exited chan struct{}
	// starts counts the starts.
	starts int
	// isTaken says that a trouble is about to signal the process.
	isTaken bool
	// stopAt is when a planned stop began, while it goes on or was the last
	// thing that happened.
	stopAt time.Time
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
	p.stopAt = time.Time{}
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process that runs now.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.command.Process.Signal(s)
}

// beginStop notes that a planned stop begins.
func (p *process) beginStop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopAt = time.Now()
}

// isStoppingCalmly reports whether an attempt was under way in a planned stop that
// nothing else disturbed.
func (p *process) isStoppingCalmly(s *sent) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stopAt.IsZero() && p.starts == s.start && !p.disturbances.covers(s.at) && time.Now().Before(p.stopAt.Add(stopGrace))
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

// awaitExit waits for the end of the process and reports whether it came in time.
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

// exitStatus returns the status of a process that has ended.
func (p *process) exitStatus() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command.ProcessState.ExitCode()
}

// startNumber returns the number of the start.
func (p *process) startNumber() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.starts
}

func logPath(folder, id string) string { return filepath.Join(folder, id+".log") }
