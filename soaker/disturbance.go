package soaker

import (
	"slices"
	"sync"
	"time"
)

// disturbances holds the time spans in which time bounds are not checked, because a
// fault or its aftermath delays the system. It is safe for concurrent use.
type disturbances struct {
	mu    sync.Mutex
	spans []disturbance
}

type disturbance struct {
	from, until time.Time
}

// add adds a span that starts now.
func (d *disturbances) add(until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.spans = append(d.spans, disturbance{from: time.Now(), until: until})
}

func (d *disturbances) list() []disturbance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.spans)
}

// covers reports whether a time lies in a span.
func (d *disturbances) covers(at time.Time) bool {
	return slices.ContainsFunc(d.list(), func(s disturbance) bool { return !at.Before(s.from) && at.Before(s.until) })
}

// enforcedBy returns the time by which a change must have taken effect: the end of the
// first undisturbed span after the change that is as long as the bound.
func enforcedBy(changedAt time.Time, bound time.Duration, disturbed ...*disturbances) time.Time {
	var spans []disturbance
	for _, d := range disturbed {
		spans = append(spans, d.list()...)
	}
	slices.SortFunc(spans, func(a, b disturbance) int { return a.from.Compare(b.from) })
	start := changedAt
	for _, s := range spans {
		if s.from.Before(start.Add(bound)) && s.until.After(start) {
			start = s.until
		}
	}
	return start.Add(bound)
}
