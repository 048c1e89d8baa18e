package rerouter

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pollencrank/pollencrank/recorder"
)

const (
	// minFailing and maxFailing bound the number of servers of a service that have to fail,
	// without an answer of any other one in between, before the service is checked. In
	// between it is half of its servers.
	minFailing = 2
	maxFailing = 4
	// doubtfulFailing is the number of failing servers from which a lost connection says
	// nothing about its server.
	doubtfulFailing = 3
	// probedServers is the number of servers that a check probes at the same time.
	probedServers = 3
	// probeTimeout is the timeout of one probe.
	probeTimeout = 500 * time.Millisecond
	// checkInterval is the time between two checks of a service from which the instance is
	// cut off.
	checkInterval = 300 * time.Millisecond
	// checkPause is the least time between the end of a check that got an answer and the
	// next one.
	checkPause = time.Second
)

// Server is a backend server that can be probed.
type Server struct {
	ID string
	// Probe returns an error unless the server answers, whatever it says.
	Probe func(ctx context.Context) error
}

// DetectorConfig is the configuration of a Detector.
type DetectorConfig struct {
	// Servers returns the servers of a service.
	Servers func(service string) []Server
	// OnChange is called when this instance loses the servers of a service, and when it
	// reaches them again.
	OnChange func(service string, isCutOff bool)
	Log      *slog.Logger
}

// Detector tells whether this instance has lost its links to the servers of a service, as
// opposed to servers that have failed. It suspects so if several servers fail and none
// answers in between, and makes sure by probes. It is safe for concurrent use.
type Detector struct {
	config DetectorConfig
	ctx    context.Context
	cancel context.CancelFunc
	checks sync.WaitGroup

	mu       sync.Mutex
	services map[string]*serviceLinks
}

// serviceLinks is what is known of the links to the servers of one service.
type serviceLinks struct {
	// failing are the servers that have failed since the last answer of any server.
	failing map[string]bool
	// hasAnswered says that a server has answered a request since the last round of probes
	// began.
	hasAnswered bool
	// isChecked says that a check runs.
	isChecked bool
	// checkAfter is when the next check may begin.
	checkAfter time.Time
	isCutOff   bool
}

// NewDetector returns a Detector that takes every link to work.
func NewDetector(config DetectorConfig) *Detector {
	d := &Detector{config: config, services: map[string]*serviceLinks{}}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return d
}

// Close ends the checks.
func (d *Detector) Close() {
	d.mu.Lock()
	d.cancel()
	d.mu.Unlock()
	d.checks.Wait()
}

// linksOf returns the links of a service. The lock is held.
func (d *Detector) linksOf(service string) *serviceLinks {
	links := d.services[service]
	if links == nil {
		links = &serviceLinks{failing: map[string]bool{}}
		d.services[service] = links
	}
	return links
}

// IsCutOff reports whether this instance has lost its links to the servers of a service.
func (d *Detector) IsCutOff(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	links := d.services[service]
	return links != nil && links.isCutOff
}

// IsAnyCutOff reports whether this instance has lost its links to the servers of any service.
func (d *Detector) IsAnyCutOff() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, links := range d.services {
		if links.isCutOff {
			return true
		}
	}
	return false
}

// IsDoubtful reports whether failures of servers of a service may be those of this
// instance's own links.
func (d *Detector) IsDoubtful(service string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	links := d.services[service]
	return links != nil && len(links.failing) >= doubtfulFailing
}

// ObserveAnswer records that a server of a service has answered.
func (d *Detector) ObserveAnswer(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if links := d.services[service]; links != nil {
		clear(links.failing)
		links.hasAnswered = true
	}
}

// ObserveFailure records that a server of a service could not be reached or has not
// answered.
func (d *Detector) ObserveFailure(service, server string, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	links := d.linksOf(service)
	links.failing[server] = true
	if len(links.failing) < minFailing || links.isChecked || links.isCutOff || now.Before(links.checkAfter) || d.ctx.Err() != nil {
		return
	}
	needed := min(max(len(d.config.Servers(service))/2, minFailing), maxFailing)
	if len(links.failing) >= needed {
		d.beginCheck(service, links)
	}
}

// beginCheck begins a check of a service. The lock is held.
func (d *Detector) beginCheck(service string, links *serviceLinks) {
	links.isChecked = true
	d.checks.Go(func() { d.check(service) })
}

// checkOthers begins a check of the other services, because links are mostly lost together.
func (d *Detector) checkOthers(service string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for other, links := range d.services {
		if other != service && !links.isChecked && len(links.failing) > 0 && d.ctx.Err() == nil {
			d.beginCheck(other, links)
		}
	}
}

// check probes servers of a service, and until one answers if none does.
func (d *Detector) check(service string) {
	for !d.reaches(service) {
		if d.ctx.Err() != nil {
			return
		}
		d.setCutOff(service, true)
		select {
		case <-d.ctx.Done():
			return
		case <-time.After(checkInterval):
		}
	}
	d.setCutOff(service, false)
	d.mu.Lock()
	defer d.mu.Unlock()
	links := d.linksOf(service)
	clear(links.failing)
	links.isChecked = false
	links.checkAfter = time.Now().Add(checkPause)
}

// reaches makes a round of probes of servers of a service, and reports whether a server has
// answered a probe, or a request in the meantime: a server under load may answer requests
// but no probe in time.
func (d *Detector) reaches(service string) bool {
	d.mu.Lock()
	d.linksOf(service).hasAnswered = false
	d.mu.Unlock()
	if d.probe(service) {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.linksOf(service).hasAnswered
}

// probe probes some servers of a service, and reports whether one of them answers. A
// service without servers counts as reached.
func (d *Detector) probe(service string) bool {
	servers := d.config.Servers(service)
	if len(servers) == 0 {
		return true
	}
	rand.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	servers = servers[:min(len(servers), probedServers)]
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	defer cancel()
	answers := make(chan error, len(servers))
	for _, server := range servers {
		go func() { answers <- server.Probe(ctx) }()
	}
	for range servers {
		if err := <-answers; err == nil {
			return true
		}
	}
	return false
}

// setCutOff records whether this instance is cut off from a service, and reports a change.
func (d *Detector) setCutOff(service string, isCutOff bool) {
	d.mu.Lock()
	links := d.linksOf(service)
	hasChanged := links.isCutOff != isCutOff
	links.isCutOff = isCutOff
	d.mu.Unlock()
	if !hasChanged {
		return
	}
	d.config.OnChange(service, isCutOff)
	if isCutOff {
		d.checkOthers(service)
		cutsTotal.Inc()
		d.config.Log.Warn("this instance reaches no server of a service; its requests go through other instances",
			recorder.EventCutOff.Attr(), slog.String("service", service))
		return
	}
	d.config.Log.Info("this instance reaches the servers of a service again", recorder.EventCutOffEnded.Attr(), slog.String("service", service))
}

var cutsTotal = metrics.GetOrCreateCounter("pollencrank_cut_off_total")
