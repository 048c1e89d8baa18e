// Package leaser acquires leases in the platform's store, so that only one instance
// at a time does work that any instance could do.
//
// Clocks of different instances are never compared. A holder treats its lease as
// valid until a deadline on its own clock that it fixed before it wrote the lease.
// Another instance takes a lease over only after it has observed the same version
// of the lease for the whole lifetime and a margin on its own clock. A holder that
// was paused past its deadline detects that with Lease.Valid, which it has to call
// right before each side effect. Because the holder may be paused again after that
// call, each side effect also carries the lease's fencing token, and its receiver
// rejects a token that is lower than one that it has received before.
//
// # Usage
//
//	l := leaser.New(leaser.Config{Store: store, Key: "leases/planner", Holder: "entry-1"})
//	lease, err := l.Acquire(ctx)
//	if err == nil && lease.Valid(time.Now()) {
//		write(lease.Token)
//	}
package leaser

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/pollencrank/pollencrank/persister"
)

const (
	// DefaultLifetime is how long a lease is valid after it was written.
	DefaultLifetime = 15 * time.Second
	// takeoverMarginDivisor sets the margin before a takeover to this fraction of
	// the lifetime (a tenth), because clocks run at slightly different speeds.
	takeoverMarginDivisor = 10
)

// Config is the configuration of a Leaser.
type Config struct {
	Store persister.Store
	// Key is the key of the lease object in the store.
	Key string
	// Holder identifies this instance by its ID and incarnation.
	Holder   string
	Lifetime time.Duration
}

// Lease is the right to do some work until Deadline.
type Lease struct {
	// Token is larger than that of every earlier holder.
	Token    uint64
	Deadline time.Time
}

// Valid reports whether the lease is still held. It has to be called right before
// each side effect.
func (l Lease) Valid(now time.Time) bool { return l.Token > 0 && now.Before(l.Deadline) }

// HeldError reports that another instance holds the lease.
type HeldError struct {
	Holder string
}

// Error implements error.
func (e *HeldError) Error() string { return fmt.Sprintf("the lease is held by %s", e.Holder) }

// record is the stored lease.
type record struct {
	Holder string `json:"holder"`
	Token  uint64 `json:"token"`
	// Renewal makes each record unique, so that after a lost answer a read shows
	// whether the write took effect.
	Renewal uint64 `json:"renewal"`
}

// Leaser acquires and renews one lease. It is not safe for concurrent use.
type Leaser struct {
	config Config
	lease  Lease
	// observedVersion is the last version of the lease object that this instance
	// has read, unchangedSince the time of the first read of that version.
	observedVersion uint64
	unchangedSince  time.Time
}

// New returns a Leaser that holds no lease.
func New(config Config) *Leaser {
	if config.Lifetime <= 0 {
		config.Lifetime = DefaultLifetime
	}
	return &Leaser{config: config}
}

// Lease returns the lease as last acquired. It may have expired.
func (l *Leaser) Lease() Lease { return l.lease }

// Acquire acquires or renews the lease. It returns a HeldError while another
// instance holds the lease, and the errors of the store.
func (l *Leaser) Acquire(ctx context.Context) (Lease, error) {
	object, current, err := l.read(ctx)
	if err != nil {
		return Lease{}, err
	}
	if current.Holder != l.config.Holder && !l.hasExpired(object.Version, current, time.Now()) {
		return Lease{}, &HeldError{Holder: current.Holder}
	}
	next := record{Holder: l.config.Holder, Token: current.Token, Renewal: current.Renewal + 1}
	if current.Holder != l.config.Holder || !l.lease.Valid(time.Now()) {
		// Another instance may have held the lease since it expired, so work
		// under the old token is not continued.
		next.Token++
	}
	return l.write(ctx, next, object.Version)
}

func (l *Leaser) read(ctx context.Context) (persister.Object, record, error) {
	var current record
	object, err := l.config.Store.Get(ctx, l.config.Key)
	var missing *persister.NotFoundError
	if errors.As(err, &missing) {
		return persister.Object{}, current, nil
	}
	if err != nil {
		return object, current, fmt.Errorf("read lease: %w", err)
	}
	if err := json.Unmarshal(object.Value, &current); err != nil {
		return object, current, fmt.Errorf("decode lease: %w", err)
	}
	return object, current, nil
}

// hasExpired reports whether the holder certainly treats its lease as expired: the
// lease was released, or its version has not changed for the lifetime and a margin.
func (l *Leaser) hasExpired(version uint64, current record, now time.Time) bool {
	if current.Holder == "" {
		return true
	}
	if version != l.observedVersion || l.unchangedSince.IsZero() {
		l.observedVersion, l.unchangedSince = version, now
		return false
	}
	return now.Sub(l.unchangedSince) > l.config.Lifetime+l.config.Lifetime/takeoverMarginDivisor
}

// write stores a record as the lease. The deadline is fixed before the write is
// sent, so that the lease expires here before another instance may take it over.
func (l *Leaser) write(ctx context.Context, next record, version uint64) (Lease, error) {
	deadline := time.Now().Add(l.config.Lifetime)
	encoded, err := json.Marshal(next)
	if err != nil {
		return Lease{}, fmt.Errorf("encode lease: %w", err)
	}
	_, err = l.config.Store.Put(ctx, l.config.Key, encoded, version)
	var unknown *persister.OutcomeUnknownError
	if errors.As(err, &unknown) {
		err = l.resolve(ctx, next, err)
	}
	if err != nil {
		return Lease{}, fmt.Errorf("write lease: %w", err)
	}
	l.lease = Lease{Token: next.Token, Deadline: deadline}
	return l.lease, nil
}

// resolve determines whether a write whose answer was lost has taken effect.
func (l *Leaser) resolve(ctx context.Context, written record, cause error) error {
	_, current, err := l.read(ctx)
	if err != nil {
		return errors.Join(cause, err)
	}
	if current != written {
		return &HeldError{Holder: current.Holder}
	}
	return nil
}

// Release releases the lease early, so that another instance can acquire it without
// waiting for its expiry.
func (l *Leaser) Release(ctx context.Context) error {
	if !l.lease.Valid(time.Now()) {
		return nil
	}
	l.lease = Lease{}
	object, current, err := l.read(ctx)
	if err != nil || current.Holder != l.config.Holder {
		return err
	}
	encoded, err := json.Marshal(record{Token: current.Token, Renewal: current.Renewal + 1})
	if err != nil {
		return fmt.Errorf("encode lease: %w", err)
	}
	_, err = l.config.Store.Put(ctx, l.config.Key, encoded, object.Version)
	return err
}
