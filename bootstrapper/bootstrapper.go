// Package bootstrapper gives a starting instance what the others know while the
// platform's store does not answer.
//
// A Snapshot is what an instance believes of the configuration, the backend
// servers and the fleet. It is a start only: what the store says later replaces
// it.
//
// # Usage
//
//	snapshot, err := bootstrapper.Fetch(ctx, ask, seeds)
//	if err != nil {
//		// No other instance could tell; try again.
//	}
package bootstrapper

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/router"
)

const (
	// maxBytes bounds an encoded snapshot.
	maxBytes = 16 << 20
	// gatherTime is how long further snapshots are waited for after the first
	// one: the instance that answers first may have lost the store longest ago.
	gatherTime = 150 * time.Millisecond
)

// Snapshot is what one instance knows.
type Snapshot struct {
	// TakenAt is the time by the clock of the instance that took it.
	TakenAt       time.Time
	Configuration router.Configuration
	// Servers are all backend servers, also those that leave.
	Servers     []registrar.Server
	Evacuations []registrar.Evacuation
	Instances   []namer.Instance
}

// Encode writes a snapshot.
func Encode(w io.Writer, snapshot Snapshot) error {
	if err := gob.NewEncoder(w).Encode(snapshot); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	return nil
}

// Decode reads a snapshot and turns its times into times of this instance's
// clock.
func Decode(r io.Reader, now time.Time) (Snapshot, error) {
	var snapshot Snapshot
	if err := gob.NewDecoder(io.LimitReader(r, maxBytes)).Decode(&snapshot); err != nil {
		return Snapshot{}, fmt.Errorf("snapshot: %w", err)
	}
	for i, server := range snapshot.Servers {
		if left := server.ColdUntil.Sub(snapshot.TakenAt); left > 0 {
			snapshot.Servers[i].ColdUntil = now.Add(left)
		}
	}
	return snapshot, nil
}

// Ask asks the instance at an address for its snapshot.
type Ask func(ctx context.Context, address string) (Snapshot, error)

// errNoSeeds says that there is no instance to ask.
var errNoSeeds = errors.New("no other instance is known")

// Fetch asks several instances at once and returns the snapshot with the newest
// configuration among the first ones that come. It fails if none comes.
func Fetch(ctx context.Context, ask Ask, addresses []string) (Snapshot, error) {
	if len(addresses) == 0 {
		return Snapshot{}, errNoSeeds
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type answer struct {
		Snapshot
		err error
	}
	answers := make(chan answer, len(addresses))
	for _, address := range addresses {
		go func() {
			snapshot, err := ask(ctx, address)
			answers <- answer{snapshot, err}
		}()
	}
	var newest *Snapshot
	var failures []error
	var enough <-chan time.Time
	for range addresses {
		select {
		case a := <-answers:
			if a.err != nil {
				failures = append(failures, a.err)
				continue
			}
			if newest == nil {
				enough = time.After(gatherTime)
			}
			if newest == nil || a.Configuration.Version > newest.Configuration.Version {
				newest = &a.Snapshot
			}
		case <-enough:
			return *newest, nil
		}
	}
	if newest == nil {
		return Snapshot{}, errors.Join(failures...)
	}
	return *newest, nil
}
