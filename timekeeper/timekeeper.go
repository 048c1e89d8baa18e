// Package timekeeper tells for how long the machine has been suspended.
//
// The clock that time.Since reads stands still while a machine is suspended, so
// what was due by it is not due yet when the machine wakes, although the rest of
// the world has gone on.
//
// # Usage
//
//	keeper := timekeeper.New()
//	before := keeper.Suspended()
//	...
//	slept := keeper.Suspended() - before
package timekeeper

import (
	"time"

	"golang.org/x/sys/unix"
)

// Timekeeper compares the clock that counts suspensions with the one that does
// not. It is safe for concurrent use.
type Timekeeper struct {
	startedAt time.Time
	booted    time.Duration
	sinceBoot func() time.Duration
}

// New returns a Timekeeper that counts from now on.
func New() *Timekeeper { return newTimekeeper(sinceBoot) }

func newTimekeeper(sinceBoot func() time.Duration) *Timekeeper {
	return &Timekeeper{startedAt: time.Now(), booted: sinceBoot(), sinceBoot: sinceBoot}
}

// Suspended returns for how long the machine has been suspended since New. It is
// never negative, and zero on a system that does not tell.
func (t *Timekeeper) Suspended() time.Duration {
	return max(0, t.sinceBoot()-t.booted-time.Since(t.startedAt))
}

// sinceBoot returns the time since the machine was booted, with suspensions.
func sinceBoot() time.Duration {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return 0
	}
	return time.Duration(now.Nano())
}
