package forwarder_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/apportioner"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/follower"
	"github.com/pollencrank/pollencrank/forwarder"
	"github.com/pollencrank/pollencrank/isolator"
	"github.com/pollencrank/pollencrank/limiter"
	"github.com/pollencrank/pollencrank/registrar"
	"github.com/pollencrank/pollencrank/rerouter"
	"github.com/pollencrank/pollencrank/router"
	"github.com/pollencrank/pollencrank/warmer"
)

// sender is a fake of the backend servers.
type sender struct {
	mu   sync.Mutex
	sent []string
	// real, if set, sends the requests over the network instead.
	real  *dispatcher.Dispatcher
	reply func(server string, n int, request *pollencrank.Request) (*pollencrank.Answer, error)
	// probe, if set, answers the health probes, which succeed otherwise.
	probe func(server string) error
}

// Probe answers a health probe.
func (s *sender) Probe(_ context.Context, server registrar.Server) error {
	if s.probe == nil {
		return nil
	}
	return s.probe(server.ID)
}

func (s *sender) Send(ctx context.Context, target dispatcher.Target, request *pollencrank.Request) (*pollencrank.Answer, error) {
	if s.real != nil {
		return s.real.Send(ctx, target, request)
	}
	s.mu.Lock()
	s.sent = append(s.sent, target.Name)
	n := len(s.sent)
	s.mu.Unlock()
	if s.reply == nil {
		return soundAnswer(target.Name, request), nil
	}
	return s.reply(target.Name, n, request)
}

// soundAnswer returns the complete answer of a healthy server to a request.
func soundAnswer(server string, request *pollencrank.Request) *pollencrank.Answer {
	const body = "whole"
	return &pollencrank.Answer{
		Status: 200, Server: server, RequestID: request.ID, IsGenuine: true,
		ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}
}

// system is a Forwarder with fake backend servers.
type system struct {
	*forwarder.Forwarder
	sender    *sender
	registrar *registrar.Registrar
	warmer    *warmer.Warmer
	limits    *apportioner.Apportioner
	route     router.Route
	requests  atomic.Int64
	// suspended is the total time for which the machine was suspended, in
	// nanoseconds; suspensionPerCall is added at each call of Config.Suspended.
	suspended         atomic.Int64
	suspensionPerCall time.Duration
	// callerTimeout is how long callers wait for an answer.
	callerTimeout time.Duration
	// serversCrash says that a server whose connection is lost is reported as down.
	serversCrash atomic.Bool
	// tellsPace, if set, reports whether servers tell the pace of their machines.
	tellsPace  func() bool
	log        logBuffer
	broadcasts chan isolator.Record
}

// logBuffer holds what was logged.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

// Write implements io.Writer.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

const service = "parts"

// newSystem returns the only instance of a fleet, which has run for a while.
func newSystem(t testing.TB) *system {
	t.Helper()
	now := time.Now()
	retries := limiter.WindowConfig{Share: 0.2, Extra: 20, Window: 10 * time.Second}
	return newInstance(t, newMembership(0, 1, now.Add(-time.Minute), now), retries, nil)
}

// newInstance returns an instance of a fleet with a retry budget, which borrows tokens for
// servers with rate limits from lender.
func newInstance(t testing.TB, membership *apportioner.Membership, retries limiter.WindowConfig, lender apportioner.Lender) *system {
	t.Helper()
	return newInstanceWith(t, membership, retries, lender, nil)
}

// newInstanceWith returns an instance that reroutes requests.
func newInstanceWith(t testing.TB, membership *apportioner.Membership, retries limiter.WindowConfig, lender apportioner.Lender, r forwarder.Rerouter) *system {
	t.Helper()
	s := &system{
		sender: &sender{}, warmer: warmer.New(membership), callerTimeout: time.Second, broadcasts: make(chan isolator.Record, 1000),
		limits: apportioner.New(apportioner.Config{Membership: membership, Lender: lender, Log: slog.New(slog.DiscardHandler)}),
	}
	s.registrar = registrar.New(registrar.Config{
		Warmup: func(string) time.Duration { return 3 * time.Second },
		Log:    slog.New(slog.DiscardHandler),
	})
	s.Forwarder = forwarder.New(forwarder.Config{
		Region: "north", Regions: 2,
		Registrar: s.registrar, Sender: s.sender, Warmer: s.warmer, Limits: s.limits, Probe: s.sender.Probe,
		Splitter:  router.NewSplitter(),
		Rerouter:  r,
		Budgets:   forwarder.NewBudgets(forwarder.BudgetsConfig{Retries: retries, Membership: membership}),
		Distances: forwarder.NewDistances("north"),
		Suspects: forwarder.Suspects{
			Isolator:  isolator.New(isolator.Config{}),
			IsDown:    func(context.Context, string) bool { return s.serversCrash.Load() },
			Broadcast: func(r isolator.Record) { s.broadcasts <- r },
		},
		Suspended: func() time.Duration { return time.Duration(s.suspended.Add(int64(s.suspensionPerCall))) },
		TellsPace: func(string) bool { return s.tellsPace != nil && s.tellsPace() },
		Log:       slog.New(slog.NewTextHandler(&s.log, nil)),
	})
	s.route = router.Route{
		Name: "r", Kind: router.Idempotent, MaxAttempts: 2, HasAffinity: true, LatencyObjective: 300 * time.Millisecond,
		Priority: 1, Shares: []router.Share{{Service: service, Weight: 1}},
	}
	s.setServers(server("n-1", "north"), server("n-2", "north"), server("s-1", "south"), server("s-2", "south"))
	return s
}

func server(id, region string) registrar.Server {
	return registrar.Server{
		ID: id, Service: service, Address: id + ":80", FailureDomain: region + "-a", Region: region, Slots: 2, Incarnation: 1,
	}
}

func (s *system) setServers(servers ...registrar.Server) {
	var items []follower.Item[registrar.Server]
	for _, one := range servers {
		items = append(items, follower.Item[registrar.Server]{Name: one.ID, Value: one})
	}
	s.registrar.Servers().Reset(items)
}

// forwardRequest forwards a request for an object.
func (s *system) forwardRequest(ctx context.Context, object string) (*pollencrank.Answer, error) {
	return s.forward(ctx, object, "/x")
}

// forwardURI forwards a request for one object with a URI of its own.
func (s *system) forwardURI(ctx context.Context, uri string) (*pollencrank.Answer, error) {
	return s.forward(ctx, "17", uri)
}

func (s *system) forward(ctx context.Context, object, uri string) (*pollencrank.Answer, error) {
	return s.forwardAs(ctx, fmt.Sprint("request-", s.requests.Add(1)), object, uri)
}

// forwardHop forwards a request of another instance.
func (s *system) forwardHop(ctx context.Context, hop *rerouter.Hop) (*pollencrank.Answer, error) {
	call := s.newCall(fmt.Sprint("request-", s.requests.Add(1)), "17", "/x")
	call.Hop = hop
	return s.Forward(ctx, call)
}

// forwardAs forwards a request with an ID.
func (s *system) forwardAs(ctx context.Context, id, object, uri string) (*pollencrank.Answer, error) {
	return s.Forward(ctx, s.newCall(id, object, uri))
}

func (s *system) newCall(id, object, uri string) *forwarder.Call {
	table := router.NewTable(router.Configuration{Services: map[string]router.Service{
		service: {Name: service, MaxConnections: 100, Warmup: 3 * time.Second, ColdRate: 6},
	}})
	return &forwarder.Call{
		Table: table, Route: &s.route, ObjectKey: object,
		Request: &pollencrank.Request{
			ID: id, Deadline: time.Now().Add(s.callerTimeout), Method: "GET", URI: uri,
			Header:     http.Header{"X-Attempt-Id": {id}},
			Idempotent: s.route.Kind.MayRepeat(),
		},
	}
}

func connectionLost(server string) error {
	return pollencrank.OutcomeUnknown(pollencrank.ReasonServerFailed, "server %s: connection reset", server)
}

func shed(server string) error {
	return pollencrank.NotRun(pollencrank.ReasonAllShed, "server %s is full", server)
}
