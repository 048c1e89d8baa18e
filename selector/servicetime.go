package selector

import (
	"sync"
	"time"
)

const (
	// serviceTimeQuantile is the quantile of the observed answer times that is taken as
	// the service time of a recently served object: only requests that did not wait lie
	// below it.
	serviceTimeQuantile = 0.3
	// serviceTimeStep is the relative step by which an observation moves the estimate.
	serviceTimeStep = 0.05
)

// RequestClass identifies requests that take servers about the same time.
type RequestClass struct {
	Route   string
	Service string
}

// ServiceTimes estimates, for each class of requests, the service time for an object
// that a server has served recently. It is safe for concurrent use.
type ServiceTimes struct {
	mu    sync.Mutex
	times map[RequestClass]time.Duration
}

// NewServiceTimes returns ServiceTimes without observations.
func NewServiceTimes() *ServiceTimes { return &ServiceTimes{times: map[RequestClass]time.Duration{}} }

// Estimate returns the estimate for a class, or initial if nothing was observed.
func (s *ServiceTimes) Estimate(class RequestClass, initial time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t, ok := s.times[class]; ok {
		return t
	}
	return initial
}

// Observe adds the time of one answer to the estimate.
func (s *ServiceTimes) Observe(class RequestClass, took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.times[class]
	if !ok {
		s.times[class] = max(took, time.Millisecond)
		return
	}
	step := serviceTimeStep * float64(t)
	if took < t {
		t -= time.Duration(step * (1 - serviceTimeQuantile))
	} else {
		t += time.Duration(step * serviceTimeQuantile)
	}
	s.times[class] = max(t, time.Millisecond)
}
