// Package rerouter sends requests of callers through another instance while this one has
// lost its links to the backend servers.
//
// A Detector tells the own links from failed servers. A Rerouter chooses another instance,
// the nearest ones first, and sends the request to it over HTTP. The other instance treats
// it as the request of a caller of its own, but never reroutes it again. Its answer says
// whether the request has run, so nothing runs twice. A request is rerouted at most once.
//
// # Usage
//
//	r := rerouter.New(rerouter.Config{Self: self, Peers: peers, Dialect: dialect})
//	if r.IsCutOff(service) {
//		answer, err := r.Send(ctx, rerouter.Request{Request: request, MaxAttempts: 2})
//	}
package rerouter

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/recorder"
)

const (
	// maxPeers is the number of instances that one request may be sent to if none of them
	// takes it.
	maxPeers = 3
	// avoidTime is the time for which an instance gets no request after it could not take
	// one.
	avoidTime = time.Second
	// peerConnections is the largest number of connections to one instance.
	peerConnections = 64
	// idleTimeout is how long an idle connection to an instance is kept.
	idleTimeout = 5 * time.Second
)

// Config is the configuration of a Rerouter.
type Config struct {
	Self namer.Instance
	// Peers returns the other instances that serve requests.
	Peers func() []namer.Instance
	// IsCutOff reports whether another instance has said that it is cut off itself.
	IsCutOff func(id string) bool
	// DialContext opens connections to instances.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
	// Dialect decodes the answers of backend servers.
	Dialect dispatcher.Dialect
	Log     *slog.Logger
	DetectorConfig
}

// Rerouter sends requests through other instances. It is safe for concurrent use.
type Rerouter struct {
	*Detector
	config Config
	sender *dispatcher.Dispatcher

	mu sync.Mutex
	// avoidedUntil is until when an instance gets no request for a service.
	avoidedUntil map[avoidance]time.Time
}

type avoidance struct{ instance, service string }

// New returns a Rerouter.
func New(config Config) *Rerouter {
	config.DetectorConfig.Log = config.Log
	return &Rerouter{
		Detector: NewDetector(config.DetectorConfig),
		config:   config,
		sender: dispatcher.New(dispatcher.Config{
			DialContext: config.DialContext, Dialect: peerDialect{config.Dialect}, IdleTimeout: idleTimeout, Log: config.Log,
		}),
		avoidedUntil: map[avoidance]time.Time{},
	}
}

// Request is a request that is sent through another instance.
type Request struct {
	*pollencrank.Request
	Service string
	// IsAllowed reports whether instances of a region may get the request.
	IsAllowed func(region string) bool
	// Hop tells the other instance what has been done with the request.
	Hop Hop
	// NewBody returns the body, for each instance anew. It is nil if the body can be read
	// once only.
	NewBody func() *pollencrank.Request
}

// Send sends a request through another instance and returns the answer of the backend
// server. The error is a NotRunError if the request certainly has not run.
func (r *Rerouter) Send(ctx context.Context, request Request) (*pollencrank.Answer, error) {
	peers := r.choose(request, time.Now())
	if request.NewBody == nil {
		peers = peers[:min(len(peers), 1)]
	}
	err := error(pollencrank.NotRun(pollencrank.ReasonCutOff, "instance %s reaches no server, and knows no instance that does", r.config.Self.ID))
	for _, peer := range peers {
		var answer *pollencrank.Answer
		answer, err = r.sendTo(ctx, peer, request)
		count(err)
		if err == nil || !mayTakeAnother(err) {
			return answer, err
		}
		if !concernsTenant(request.Hop, err) {
			r.avoid(avoidance{peer.ID, request.Service})
		}
		r.config.Log.Info("an instance did not take a request of one that is cut off", recorder.EventRerouteFailed.Attr(),
			slog.String("request", request.ID), slog.String("instance", peer.ID), slog.Any("error", err))
	}
	return nil, err
}

func count(err error) {
	result := "answered"
	switch {
	case pollencrank.IsNotRun(err):
		result = "notRun"
	case err != nil:
		result = "unknown"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf(`pollencrank_rerouted_total{result=%q}`, result)).Inc()
}

func (r *Rerouter) sendTo(ctx context.Context, peer namer.Instance, request Request) (*pollencrank.Answer, error) {
	outgoing := *request.Request
	if request.NewBody != nil {
		outgoing = *request.NewBody()
	}
	outgoing.Header = outgoing.Header.Clone()
	request.Hop.encode(outgoing.Header)
	target := dispatcher.Target{Name: peer.ID, Address: peer.PeerAddress, MaxConnections: peerConnections}
	answer, err := r.sender.Send(ctx, target, &outgoing)
	if err != nil {
		return nil, err
	}
	if err := unknownOutcome(peer.ID, answer); err != nil {
		_ = answer.Body.Close()
		return nil, err
	}
	return answer, nil
}

// mayTakeAnother reports whether another instance may take a request that one has not run.
func mayTakeAnother(err error) bool {
	var notRun *pollencrank.NotRunError
	if !errors.As(err, &notRun) {
		return false
	}
	switch notRun.Reason {
	case pollencrank.ReasonServerUnreachable, pollencrank.ReasonServerFailed, pollencrank.ReasonCutOff,
		pollencrank.ReasonNotReady, pollencrank.ReasonStopping, pollencrank.ReasonReroutedFull:
		return true
	}
	return false
}

// concernsTenant reports whether an instance may have refused a request because it does not
// know the tenant yet. It may take the requests of others.
func concernsTenant(hop Hop, err error) bool {
	var notRun *pollencrank.NotRunError
	return hop.Tenant != "" && errors.As(err, &notRun) && notRun.Reason == pollencrank.ReasonNotReady
}

func (r *Rerouter) avoid(a avoidance) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoidedUntil[a] = time.Now().Add(avoidTime)
}

// choose returns the instances that a request is sent to one after the other: those of the
// own region before others, those of the own failure domain last in it, because they may
// share the cut, and in each group at random by their capacity.
func (r *Rerouter) choose(request Request, now time.Time) []namer.Instance {
	var candidates []candidate
	for _, peer := range r.config.Peers() {
		if request.IsAllowed(peer.Region) && !r.isAvoided(avoidance{peer.ID, request.Service}, now) {
			candidates = append(candidates, r.newCandidate(peer))
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.draw, b.draw))
	})
	var chosen []namer.Instance
	for _, c := range candidates[:min(len(candidates), maxPeers)] {
		chosen = append(chosen, c.Instance)
	}
	return chosen
}

type candidate struct {
	namer.Instance
	distance int
	// draw orders candidates at random; the least comes first.
	draw float64
}

func (r *Rerouter) newCandidate(peer namer.Instance) candidate {
	c := candidate{Instance: peer, draw: rand.ExpFloat64()}
	if peer.Capacity > 0 {
		c.draw /= peer.Capacity
	}
	switch self := r.config.Self; {
	case peer.Region != self.Region:
		c.distance = 2
	case peer.FailureDomain == self.FailureDomain:
		c.distance = 1
	}
	return c
}

// isAvoided reports whether an instance is known not to take requests for a service.
func (r *Rerouter) isAvoided(a avoidance, now time.Time) bool {
	if r.config.IsCutOff(a.instance) {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	until, isAvoided := r.avoidedUntil[a]
	if isAvoided && !now.Before(until) {
		delete(r.avoidedUntil, a)
		return false
	}
	return isAvoided
}
