package router

import (
	"slices"
	"sync"
)

// Splitter distributes the requests of split routes to their services by smooth
// weighted round-robin: after any number of requests, the number of requests of each
// service is off from its share by less than one request. It is safe for concurrent
// use.
type Splitter struct {
	mu     sync.Mutex
	states map[string]*splitState
}

type splitState struct {
	shares []Share
	// credits are the differences between the requests that each share is due and those
	// that it got, in units of weight.
	credits []int
}

// NewSplitter returns a Splitter.
func NewSplitter() *Splitter {
	return &Splitter{states: map[string]*splitState{}}
}

// Pick returns the service for the next request of a route, or "" if the route
// has no shares.
func (s *Splitter) Pick(route *Route) string {
	switch len(route.Shares) {
	case 0:
		return ""
	case 1:
		return route.Shares[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.states[route.Name]
	if state == nil || !slices.Equal(state.shares, route.Shares) {
		state = &splitState{shares: route.Shares, credits: make([]int, len(route.Shares))}
		s.states[route.Name] = state
	}
	return state.next()
}

func (s *splitState) next() string {
	total, best := 0, 0
	for i, share := range s.shares {
		s.credits[i] += share.Weight
		total += share.Weight
		if s.credits[i] > s.credits[best] {
			best = i
		}
	}
	s.credits[best] -= total
	return s.shares[best].Service
}

// Prune removes the states of routes that are not in the table.
func (s *Splitter) Prune(table *Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inTable := make(map[string]bool, len(table.Routes))
	for _, route := range table.Routes {
		inTable[route.Name] = true
	}
	for name := range s.states {
		if !inTable[name] {
			delete(s.states, name)
		}
	}
}
