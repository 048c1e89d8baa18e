package placer

import (
	"sync"
	"time"
)

const (
	// shareGain is the change of a near share in a second for each unit of difference
	// between the fullness of near and far servers.
	shareGain = 0.06
	// maxShareRate bounds that change. It keeps the part of a region's requests that changes
	// the region from one moment to the next well below what deployments allow.
	maxShareRate = 0.03
	// nearBonus is how much fuller near servers may be than far ones: answers from there
	// arrive sooner.
	nearBonus = 0.5
	// shareDeadBand is the difference that changes nothing: a change moves objects to servers
	// that do not know them.
	shareDeadBand = 0.15
	minNearShare  = 0.02
	// maxShareStep bounds the time that one update counts for: what came between is unknown.
	maxShareStep = 500 * time.Millisecond
	shareEvery   = 50 * time.Millisecond
)

// Share is the share of objects whose first server is in the callers' own region, for a
// service whose servers tell how many requests they have. It follows the difference between near
// and far servers slowly, so that many instances that see the same reports do not swing. It
// is safe for concurrent use.
type Share struct {
	mu        sync.Mutex
	near      float64
	updatedAt time.Time
}

// NewShare returns a Share that begins at the given value.
func NewShare(initial float64) *Share { return &Share{near: initial} }

// Shifted returns a Share that goes on from the present one, changed by a difference: the
// regions have got other servers.
func (s *Share) Shifted(difference float64) *Share {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Share{near: min(max(s.near+difference, minNearShare), 1), updatedAt: s.updatedAt}
}

// Near returns the share of objects whose first server is near.
func (s *Share) Near() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.near
}

// IsDue reports whether an update is due.
func (s *Share) IsDue(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.updatedAt) >= shareEvery
}

// Update moves the share by the fullness of near and far servers, in requests for each slot.
func (s *Share) Update(near, far float64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	elapsed := now.Sub(s.updatedAt)
	isFirst := s.updatedAt.IsZero()
	s.updatedAt = now
	difference := far + nearBonus - near
	if isFirst || elapsed <= 0 || (difference < shareDeadBand && difference > -shareDeadBand) {
		return
	}
	rate := min(max(shareGain*difference, -maxShareRate), maxShareRate)
	s.near = min(max(s.near+rate*min(elapsed, maxShareStep).Seconds(), minNearShare), 1)
}
