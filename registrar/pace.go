package registrar

import (
	"sync"
	"time"
)

const (
	// reportHalfLife is the half-life with which the load and the pace that one server has
	// told give way to the means of its service's servers in its region.
	reportHalfLife = 150 * time.Millisecond
	// meanHalfLife is the half-life of a report in these means.
	meanHalfLife = 500 * time.Millisecond
	// usualPace is the pace of a machine on which work takes as long as usual.
	usualPace = 1
)

// LoadReport is what a server tells of its load and of its machine.
type LoadReport struct {
	Running, Waiting int
	// Slots is the number of slots, or zero if the server tells none.
	Slots int
	// Pace is how long work takes on the server's machine at the moment, as a multiple of
	// the usual time, or zero if the server does not tell it.
	Pace float64
}

// Standing is what a choice of a server needs to know of one of them at one moment.
type Standing struct {
	// Load is the estimated number of requests at the server, from all instances.
	Load  float64
	Slots int
	// Pace is the estimated pace of the machine (see LoadReport).
	Pace float64
	// Health holds the slowness that the told pace does not explain.
	Health Health
	IsCold bool
	// Age is how long ago the server told its pace.
	Age time.Duration
}

// regionMeans are the means of the reports of a service's servers in one region. They stand
// for servers that have reported nothing lately.
type regionMeans struct {
	mu        sync.Mutex
	fullness  float64
	pace      float64
	updatedAt time.Time
}

// add takes a report in.
func (m *regionMeans) add(fullness, pace float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.updatedAt.IsZero() {
		m.fullness, m.pace, m.updatedAt = fullness, pace, now
		return
	}
	weight := 1 - decay(max(0, now.Sub(m.updatedAt)), meanHalfLife)
	m.fullness += (fullness - m.fullness) * weight
	m.pace += (pace - m.pace) * weight
	m.updatedAt = now
}

// get returns the mean number of requests for each slot and the mean pace.
func (m *regionMeans) get() (fullness, pace float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.updatedAt.IsZero() {
		return 0, usualPace
	}
	return m.fullness, m.pace
}

// serviceRegion identifies the servers of a service in a region.
type serviceRegion struct{ service, region string }

// meansOf returns the means that the server's reports count for. The lock is held.
func (r *Registrar) meansOf(s Server) *regionMeans {
	id := serviceRegion{s.Service, s.Region}
	if r.means[id] == nil {
		r.means[id] = &regionMeans{}
	}
	return r.means[id]
}

// TellsPace reports whether servers of a service tell the pace of their machines. The rules
// for uneven servers and uneven demand hold only for such services.
func (r *Registrar) TellsPace(service string) bool {
	_, ok := r.paceTellers.Load(service)
	return ok
}

// RecordReport records what a server tells with an answer, which includes this instance's
// own requests.
func (r *Registrar) RecordReport(b *Backend, report LoadReport, now time.Time) {
	b.RecordLoad(report.Running, report.Waiting, now)
	if report.Pace <= 0 {
		return
	}
	s := b.Server()
	if !r.TellsPace(s.Service) {
		r.paceTellers.Store(s.Service, struct{}{})
	}
	slots := s.Slots
	if report.Slots > 0 {
		slots = report.Slots
	}
	b.recordPace(report.Pace, report.Slots, now)
	b.means.add(float64(report.Running+report.Waiting)/float64(max(slots, 1)), report.Pace, now)
}

func (b *Backend) recordPace(pace float64, slots int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.toldPace, b.toldSlots, b.paceToldAt = pace, slots, now
}

// Pace returns the estimated pace of the server's machine.
func (b *Backend) Pace(now time.Time) float64 {
	_, mean := b.means.get()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pace(mean, now)
}

// pace lets the told pace give way to the mean with its age. The lock is held.
func (b *Backend) pace(mean float64, now time.Time) float64 {
	if b.toldPace == 0 {
		return mean
	}
	return mean + (b.toldPace-mean)*decay(max(0, now.Sub(b.paceToldAt)), reportHalfLife)
}

// Standing returns what is known of the server at a moment.
func (b *Backend) Standing(now time.Time) Standing {
	fullness, meanPace := b.means.get()
	s := b.server.Load()
	b.mu.Lock()
	defer b.mu.Unlock()
	standing := Standing{
		Slots:  s.Slots,
		Pace:   b.pace(meanPace, now),
		Health: b.health(now),
		IsCold: now.Before(s.ColdUntil) || now.Before(b.coldUntil),
		Age:    now.Sub(b.paceToldAt),
	}
	if b.toldSlots > 0 {
		standing.Slots = b.toldSlots
	}
	own := float64(len(b.inFlight))
	mean := max(own, fullness*float64(standing.Slots))
	standing.Load = mean
	if !b.loadReportedAt.IsZero() {
		standing.Load += (own + b.othersLoad - mean) * decay(max(0, now.Sub(b.loadReportedAt)), reportHalfLife)
	}
	return standing
}
