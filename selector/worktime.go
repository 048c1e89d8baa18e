package selector

import (
	"sync"
	"time"
)

const (
	// workQuantile is the quantile of the observed times that counts as the
	// work on a known object: below it lie only requests that did not wait.
	workQuantile = 0.3
	// workStep is the relative step with which the estimate follows.
	workStep = 0.05
)

// RequestClass names requests that servers work on alike.
type RequestClass struct {
	Route   string
	Service string
}

// ServiceTimes estimates, for each kind of work, how long a server works on a request for
// an object that it knows. It is safe for concurrent use.
type ServiceTimes struct {
	mu    sync.Mutex
	times map[RequestClass]time.Duration
}

// NewServiceTimes returns a WorkTimes without observations.
func NewServiceTimes() *ServiceTimes { return &ServiceTimes{times: map[RequestClass]time.Duration{}} }

// Estimate returns the estimate for some work, or initial if nothing was observed.
func (w *ServiceTimes) Estimate(work RequestClass, initial time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t, ok := w.times[work]; ok {
		return t
	}
	return initial
}

// Observe takes the time of one answer.
func (w *ServiceTimes) Observe(work RequestClass, took time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.times[work]
	if !ok {
		w.times[work] = max(took, time.Millisecond)
		return
	}
	step := workStep * float64(t)
	if took < t {
		t -= time.Duration(step * (1 - workQuantile))
	} else {
		t += time.Duration(step * workQuantile)
	}
	w.times[work] = max(t, time.Millisecond)
}
