package forwarder

import (
	"math/bits"
	"sync"

	"github.com/pollencrank/pollencrank/limiter"
)

// leastConnections is the least number of connections to one server that an
// instance may open, however many instances there are.
const leastConnections = 4

// Budgets divides what the fleet may use among its instances. It is safe for
// concurrent use.
type Budgets struct {
	mu        sync.Mutex
	config    limiter.WindowConfig
	instances int
	services  map[string]*limiter.WindowBudget
}

// NewBudgets returns the budgets of one of several instances.
func NewBudgets(config limiter.WindowConfig, instances int) *Budgets {
	return &Budgets{config: config, instances: max(instances, 1), services: map[string]*limiter.WindowBudget{}}
}

// SetInstances sets the number of instances that share the budgets.
func (b *Budgets) SetInstances(instances int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(instances, 1)
	for _, budget := range b.services {
		budget.SetInstances(b.instances)
	}
}

// SetConfig changes what the fleet may use.
func (b *Budgets) SetConfig(config limiter.WindowConfig) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.config = config
	for _, budget := range b.services {
		budget.SetConfig(config)
	}
}

// RetryBudget returns the retry budget of a service.
func (b *Budgets) RetryBudget(service string) *limiter.WindowBudget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.services[service]
	if budget == nil {
		budget = limiter.NewWindowBudget(b.config, b.instances)
		b.services[service] = budget
	}
	return budget
}

// ConnectionLimit returns this instance's part of the connections that one server
// accepts from all: a power of two, because open connections are given up when
// the number changes, and instances come and go.
func (b *Budgets) ConnectionLimit(all int) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	part := max(all/b.instances, leastConnections)
	return 1 << (bits.Len(uint(part)) - 1)
}
