package soaker

import (
	"slices"
	"sync"
	"time"
)

// disturbances are the spans in which time bounds do not hold. It is safe for concurrent
// use.
type disturbances struct {
	mu    sync.Mutex
	spans []disturbance
}

type disturbance struct {
	from, until time.Time
}

// add adds a span from now on.
func (h *disturbances) add(until time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.spans = append(h.spans, disturbance{from: time.Now(), until: until})
}

func (h *disturbances) list() []disturbance {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.spans)
}

// covers reports whether a moment lies in a span.
func (h *disturbances) covers(at time.Time) bool {
	return slices.ContainsFunc(h.list(), func(s disturbance) bool { return !at.Before(s.from) && at.Before(s.until) })
}

// boundEnd returns when news of a moment must have taken effect: after the first
// undisturbed span that is as long as the bound.
func boundEnd(news time.Time, bound time.Duration, disturbed ...*disturbances) time.Time {
	var spans []disturbance
	for _, h := range disturbed {
		spans = append(spans, h.list()...)
	}
	slices.SortFunc(spans, func(a, b disturbance) int { return a.from.Compare(b.from) })
	start := news
	for _, s := range spans {
		if s.from.Before(start.Add(bound)) && s.until.After(start) {
			start = s.until
		}
	}
	return start.Add(bound)
}
