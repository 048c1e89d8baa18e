// Package timekeeper measures for how long the machine has been suspended.
//
// The monotonic clock that time.Since reads does not advance while a machine is
// suspended. After a resume, timers and deadlines on that clock have not expired
// yet although the time has passed on all other machines.
//
// # Usage
//
//	keeper := timekeeper.New()
//	before := keeper.Suspended()
//	...
//	suspended := keeper.Suspended() - before
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Timekeeper compares the system's uptime, which includes suspensions, with the
// monotonic clock, which does not. It is safe for concurrent use.
type Timekeeper struct {
	startedAt     time.Time
	uptimeAtStart time.Duration
	uptime        func() time.Duration
}

// New returns a Timekeeper that measures from now on.
func New() *Timekeeper { return newTimekeeper(systemUptime) }

func newTimekeeper(uptime func() time.Duration) *Timekeeper {
	return &Timekeeper{startedAt: time.Now(), uptimeAtStart: uptime(), uptime: uptime}
}

// Suspended returns for how long the machine has been suspended since New. It is
// never negative, and zero on a system that does not report its uptime.
func (t *Timekeeper) Suspended() time.Duration {
	return max(0, t.uptime()-t.uptimeAtStart-time.Since(t.startedAt))
}

// systemUptime returns the time since the machine was booted, including suspensions,
// or zero if the system does not report it.
func systemUptime() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
