// Package namer selects the instances that the answer to a look-up names.
//
// Callers choose among the named instances at random and cache an answer for a
// while. An answer therefore names the instances of the caller's own failure
// domain, or those of its region if the domain has too few to tolerate the loss of
// one.
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
	// minInDomain is the number of instances in the caller's failure domain from
	// which an answer names only these.
	minInDomain = 2
	// MaxNamed is the largest number of instances in an answer.
	MaxNamed = 64
)

// Instance is one instance that accepts requests.
type Instance struct {
	ID string
	// Incarnation distinguishes starts of the same instance.
	Incarnation   uint64
	FailureDomain string
	Region        string
	CallerAddress string
	PeerAddress   string
	// Capacity is the instance's capacity relative to other instances. Zero means
	// unknown.
	Capacity float64
}

// Caller is the location of the caller that made a look-up.
type Caller struct {
	Region        string
	FailureDomain string
}

// Choose returns the instances to name to a caller, ordered by ID.
func Choose(instances []Instance, caller Caller) []Instance {
	inDomain := filter(instances, func(i Instance) bool { return i.FailureDomain == caller.FailureDomain })
	if len(inDomain) >= minInDomain {
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
