// Package namer decides which instances the answer to a look-up names.
//
// Callers choose among the named instances at random and keep an answer for a
// while, so an answer names those of the caller's own failure domain, and more
// of its region where the domain has too few to bear the loss of one.
//
// # Usage
//
//	named := namer.Choose(instances, namer.Caller{Region: "north", FailureDomain: "north-1"})
package namer

import (
	"cmp"
	"slices"
)

const (
	// enoughInDomain is the number of instances that makes a failure domain's
	// own instances enough.
	enoughInDomain = 2
	// MaxNamed is the largest number of instances in an answer.
	MaxNamed = 64
)

// Instance is one instance that takes requests.
type Instance struct {
	ID string
	// Incarnation tells starts of the same instance apart.
	Incarnation   uint64
	FailureDomain string
	Region        string
	CallerAddress string
	PeerAddress   string
	// Capacity is how much the instance can carry, relative to others. Zero
	// means that it is not known.
	Capacity float64
}

// Caller is where a look-up came from.
type Caller struct {
	Region        string
	FailureDomain string
}

// Choose returns the instances to name to a caller, ordered by ID.
func Choose(instances []Instance, caller Caller) []Instance {
	inDomain := filter(instances, func(i Instance) bool { return i.FailureDomain == caller.FailureDomain })
	if len(inDomain) >= enoughInDomain {
		return inDomain
	}
	inRegion := filter(instances, func(i Instance) bool { return i.Region == caller.Region })
	if len(inRegion) > 0 {
		return inRegion
	}
	return filter(instances, func(Instance) bool { return true })
}

func filter(instances []Instance, keep func(Instance) bool) []Instance {
	var kept []Instance
	for _, i := range instances {
		if keep(i) {
			kept = append(kept, i)
		}
	}
	slices.SortFunc(kept, func(a, b Instance) int { return cmp.Compare(a.ID, b.ID) })
	if len(kept) > MaxNamed {
		kept = kept[:MaxNamed]
	}
	return kept
}
