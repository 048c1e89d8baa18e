package apportioner

import (
	"sync"
	"time"
)

const (
	// maxRestartAge is how long instances have run at most that count as restarted together.
	maxRestartAge = 10 * time.Second
	// maxRestartAnswers is the number of answers that is enough in a fleet of any size.
	maxRestartAnswers = 32
)

// Restart finds out whether the whole fleet has started anew together with this instance, as
// after a loss of power: then nobody has taken over the parts of its earlier start. It is
// safe for concurrent use.
type Restart struct {
	mu sync.Mutex
	// isPossible says that the first list of the instances from the store named this one
	// under an earlier incarnation, and others is the number of the others in it.
	isPossible bool
	hasList    bool
	others     int
	// young holds the instances that have answered that they have just started. hasOld says
	// that one has answered that has run for longer, or that knows of a later store.
	young  map[string]bool
	hasOld bool
	isDone bool
}

// ObserveList records the first list of the instances that came from the store itself. Later
// calls change nothing.
func (r *Restart) ObserveList(others int, isSelfEarlier bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.hasList {
		return
	}
	r.hasList, r.isPossible, r.others = true, isSelfEarlier, others
}

// IsPossible reports whether answers of other instances may still show that the whole fleet has
// started anew.
func (r *Restart) IsPossible() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isPossible && !r.hasOld && !r.isDone
}

// ObserveUptime records for how long another instance has run, as it has answered.
func (r *Restart) ObserveUptime(id string, uptime time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if uptime >= maxRestartAge {
		r.hasOld = true
		return
	}
	if r.young == nil {
		r.young = map[string]bool{}
	}
	r.young[id] = true
}

// RuleOut records that this instance cannot rely on the list, because another one knows of
// a later copy of the store.
func (r *Restart) RuleOut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasOld = true
}

// IsFound reports, once, that the whole fleet has started anew. age is for how long this
// instance has run.
func (r *Restart) IsFound(age time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isDone || !r.isPossible || r.hasOld || age >= maxRestartAge {
		return false
	}
	r.isDone = len(r.young) >= min((r.others+1)/2, maxRestartAnswers)
	return r.isDone
}
