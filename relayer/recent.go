package relayer

import (
	"sync"
	"sync/atomic"
	"time"
)

// recentSpan is how long a name counts as recent.
const recentSpan = time.Minute

// recentNames is a set of names that leave it recentSpan after they were last added. The
// zero value is empty.
type recentNames struct {
	until sync.Map
	// wasUsed says that a name was ever added.
	wasUsed atomic.Bool
}

func (n *recentNames) add(name string, now time.Time) {
	n.until.Store(name, now.Add(recentSpan))
	n.wasUsed.Store(true)
}

func (n *recentNames) has(name string, now time.Time) bool {
	until, isKnown := n.until.Load(name)
	return isKnown && now.Before(until.(time.Time))
}
