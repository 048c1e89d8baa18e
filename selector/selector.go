// Package selector chooses the backend server of one request among the
// servers that the request's object is assigned to, by the expected time until the answer.
//
// While servers have free slots, the first server of the order is the fastest,
// because it has served the object recently. Once that server has a queue, the
// request goes to a later server of the order as soon as queueing would take longer
// than the network distance to the later server plus the longer service time there of
// an object that the later server has not served yet.
//
// # Usage
//
//	choice, ok := selector.Choose(options, serviceTime)
//	if !ok {
//		// No server may get the request now.
//	}
package selector

import (
	"time"
)

const (
	// firstServeFactor is the service time for an object that a server has not served
	// recently, as a multiple of that for an object that it has served.
	firstServeFactor = 2.5
	// failureFactor is the cost of a failed request, as a multiple of the service time.
	failureFactor = 3
)

// Option is a server that a request may be sent to. Options are listed in the order
// of preference for the request's object.
type Option struct {
	// Distance is the network round-trip time to the server.
	Distance time.Duration
	// Load is the estimated number of requests at the server.
	Load  float64
	Slots int
	// Slowness is the server's service time, as a multiple of the usual one.
	Slowness float64
	// FailureShare is the share of recent requests that the server failed.
	FailureShare float64
	// ServedObject says that the server has served the object recently.
	ServedObject bool
}

// Choice is the chosen option.
type Choice struct {
	// Index is the index of the option.
	Index int
	// Expected is the expected time until the answer.
	Expected time.Duration
	// Wait is the part of Expected that is spent in the server's queue.
	Wait time.Duration
}

// Choose returns the option with the shortest expected time, given the usual service
// time for an object that a server has served recently. It reports false if there
// are no options.
func Choose(options []Option, serviceTime time.Duration) (Choice, bool) {
	best, found := Choice{}, false
	for i, o := range options {
		c := estimate(o, serviceTime)
		c.Index = i
		if !found || c.Expected < best.Expected {
			best, found = c, true
		}
	}
	return best, found
}

// estimate computes the expected time until a server answers.
func estimate(o Option, serviceTime time.Duration) Choice {
	ownTime := float64(serviceTime) * max(o.Slowness, 0)
	if !o.ServedObject {
		ownTime *= firstServeFactor
	}
	queue := max(0, o.Load+1-float64(o.Slots)) / float64(max(o.Slots, 1))
	wait := time.Duration(queue * float64(serviceTime) * max(o.Slowness, 0))
	failures := time.Duration(o.FailureShare * failureFactor * float64(serviceTime))
	return Choice{Expected: o.Distance + time.Duration(ownTime) + wait + failures, Wait: wait}
}
