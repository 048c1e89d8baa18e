package registrar

import "time"

// LoadReport is what a server tells of its load and of its machine.
type LoadReport struct {
	Running, Waiting int
	// Pace is how long work takes on the server's machine at the moment, as a multiple of
	// the usual time, or zero if the server does not tell it.
	Pace float64
}

// TellsPace reports whether a server of a service has ever told the pace of its machine to
// this instance. The rule for too little room holds for such services.
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
	if service := b.Server().Service; !r.TellsPace(service) {
		r.paceTellers.Store(service, struct{}{})
	}
}
