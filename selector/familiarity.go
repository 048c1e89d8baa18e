package selector

import (
	"sync"
	"time"
)

const (
	// familiarFactor is the multiple of the usual service time up to which an answer
	// shows that the server knew the object.
	familiarFactor = 1.75
	// familiarityWeight is the weight of a new observation in the moving averages.
	familiarityWeight = 0.05
)

// Place is the place of a server in the order of an object's servers.
type Place int

// Places. Only the servers of Holder and First are expected to know the object without
// having served it for this instance.
const (
	// First is the first server of the order.
	First Place = iota
	// Holder is a server that holds the object for another region.
	Holder
	// Later is any other server.
	Later

	placeCount
)

// Familiarity estimates, for each class of requests, the share of requests whose object the
// chosen server knew, by the server's place in the object's order. It is safe for
// concurrent use.
type Familiarity struct {
	mu     sync.Mutex
	shares map[RequestClass]*[placeCount]float64
}

// NewFamiliarity returns a Familiarity without observations: first servers are expected to
// know their objects, and others not.
func NewFamiliarity() *Familiarity {
	return &Familiarity{shares: map[RequestClass]*[placeCount]float64{}}
}

// Share returns the estimated share for a class and a place.
func (f *Familiarity) Share(class RequestClass, place Place) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sharesOf(class)[place]
}

// Observe adds an answer of a server: the time that the request spent at the server,
// without the time in its queue, and the usual service time.
func (f *Familiarity) Observe(class RequestClass, place Place, took, usual time.Duration) {
	knew := 0.0
	if float64(took) <= familiarFactor*float64(usual) {
		knew = 1
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	share := &f.sharesOf(class)[place]
	*share += (knew - *share) * familiarityWeight
}

// sharesOf returns the shares of a class. The lock is held.
func (f *Familiarity) sharesOf(class RequestClass) *[placeCount]float64 {
	shares := f.shares[class]
	if shares == nil {
		shares = &[placeCount]float64{First: 1}
		f.shares[class] = shares
	}
	return shares
}
