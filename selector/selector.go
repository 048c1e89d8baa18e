// Package selector chooses the backend server of one request among those that
// hold its object, by the time until the answer is expected.
//
// It answers two load patterns. While servers have free slots, the first server
// of the order is the fastest, because it knows the object. When it has a queue,
// the request goes to a further one as soon as waiting would take longer than
// the distance and the work of an object that the other does not know yet.
//
// # Usage
//
//	choice, ok := selector.Choose(options, selector.Load{Work: work, Now: now})
//	if !ok {
//		// No server may get the request now.
//	}
package selector

import (
	"time"
)

const (
	// unknownFactor is how much longer a server works on an object that it does
	// not know than on one that it knows.
	unknownFactor = 2.5
	// failureFactor is how many times the work a failed request costs.
	failureFactor = 3
)

// Option is a server that a request may be sent to, in the order in which it
// holds the request's object.
type Option struct {
	// Distance is the network round-trip time to the server.
	Distance time.Duration
	// Load is the estimated number of requests at the server.
	Load  float64
	Slots int
	// Slowness is the time that the server takes, as a multiple of the usual.
	Slowness float64
	// FailureShare is the share of requests that it failed lately.
	FailureShare float64
	// ServedObject says that the server has worked on the object lately.
	ServedObject bool
}

// Choice is the chosen option.
type Choice struct {
	// Index is that of the option.
	Index int
	// Expected is the time until the answer is expected.
	Expected time.Duration
	// Wait is the part of it that is spent in the server's queue.
	Wait time.Duration
}

// Choose returns the option with the shortest expected time, given the time
// that a server works on an object that it knows. It reports false if there are
// no options.
func Choose(options []Option, work time.Duration) (Choice, bool) {
	best, found := Choice{}, false
	for i, o := range options {
		c := expect(o, work)
		c.Index = i
		if !found || c.Expected < best.Expected {
			best, found = c, true
		}
	}
	return best, found
}

// expect estimates the time until a server answers.
func expect(o Option, work time.Duration) Choice {
	own := float64(work) * max(o.Slowness, 0)
	if !o.ServedObject {
		own *= unknownFactor
	}
	queue := max(0, o.Load+1-float64(o.Slots)) / float64(max(o.Slots, 1))
	wait := time.Duration(queue * float64(work) * max(o.Slowness, 0))
	failures := time.Duration(o.FailureShare * failureFactor * float64(work))
	return Choice{Expected: o.Distance + time.Duration(own) + wait + failures, Wait: wait}
}
