package pollencrank

import "time"

// InstanceState is the life-cycle state of an entry instance.
type InstanceState uint8

// States of an instance. Within one incarnation a higher state overrides a lower
// one, so that every receiver resolves conflicting reports in the same way.
const (
	InstanceAlive InstanceState = iota
	InstanceSuspect
	InstanceLeaving
	InstanceLeft
	InstanceDead
)

var instanceStateNames = [...]string{"alive", "suspect", "leaving", "left", "dead"}

// String returns the name of s.
func (s InstanceState) String() string {
	if int(s) < len(instanceStateNames) {
		return instanceStateNames[s]
	}
	return "unknown"
}

// CanOwn reports whether an instance in state s may own backend servers and be
// listed in answers to look-ups. A suspect instance may until it is declared
// dead.
func (s InstanceState) CanOwn() bool {
	return s == InstanceAlive || s == InstanceSuspect
}

// CanAnswer reports whether an instance in state s answers requests of its
// peers.
func (s InstanceState) CanAnswer() bool {
	return s.CanOwn() || s == InstanceLeaving
}

// Instance is the membership record of an entry instance.
type Instance struct {
	ID            string
	Incarnation   uint64
	State         InstanceState
	FailureDomain string
	Region        string
	CallerAddress string
	PeerAddress   string
	StateChanged  time.Time
}

// Overrides reports whether the record i takes precedence over the record other
// of the same instance ID: by the incarnation, then by the state.
func (i Instance) Overrides(other Instance) bool {
	if i.Incarnation != other.Incarnation {
		return i.Incarnation > other.Incarnation
	}
	return i.State > other.State
}
