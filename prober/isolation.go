package prober

import (
	"time"

	"github.com/pollencrank/pollencrank/namer"
)

const (
	// resultMemory is how long the result of a probe counts for MayBeIsolated, and maxFailedShare
	// the share of failed ones from which on it reports true.
	resultMemory   = 4 * time.Second
	maxFailedShare = 0.25
)

// result is whether the last probe of an instance was answered, and when it ended.
type result struct {
	isAnswered bool
	at         time.Time
}

func (p *Prober) recordResult(i namer.Instance, isAnswered bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.results[i.ID] = result{isAnswered: isAnswered, at: time.Now()}
}

// MayBeIsolated reports whether so many of the instances that were probed lately have not
// answered that this one may be isolated, alone or together with the others.
func (p *Prober) MayBeIsolated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	probed, failed := 0, 0
	for _, r := range p.results {
		if time.Since(r.at) > resultMemory {
			continue
		}
		probed++
		if !r.isAnswered {
			failed++
		}
	}
	return failed > 0 && float64(failed) >= maxFailedShare*float64(probed)
}
