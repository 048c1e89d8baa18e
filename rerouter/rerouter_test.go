package rerouter_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/rerouter"
)

// serverDialect is a fake of the dialect of servers.
type serverDialect struct{}

func (serverDialect) IsAnswerTo(*pollencrank.Request, http.Header) bool { return true }

func (serverDialect) Encode(http.Header, dispatcher.Target, *pollencrank.Request, time.Duration) {}
func (serverDialect) Refusal(int, http.Header) (pollencrank.Reason, bool)                        { return "", false }
func (serverDialect) Report(_ int, header http.Header) dispatcher.Report {
	return dispatcher.Report{RequestID: header.Get("Id"), IsSigned: header.Get("Signed") != ""}
}

// peers are fake instances.
type peers struct {
	mu     sync.Mutex
	all    []namer.Instance
	cutOff map[string]bool
	// asked are the IDs of the instances that got requests, in order.
	asked []string
	hops  []rerouter.Hop
}

// add adds an instance that handles requests, or that cannot be reached.
func (p *peers) add(t *testing.T, id, region string, handle http.HandlerFunc) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hop, err := rerouter.DecodeHop(r.Header)
		p.mu.Lock()
		p.asked, p.hops = append(p.asked, id), append(p.hops, hop)
		p.mu.Unlock()
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		handle(w, r)
	}))
	t.Cleanup(server.Close)
	if handle == nil {
		server.Close()
	}
	p.all = append(p.all, namer.Instance{ID: id, Region: region, PeerAddress: strings.TrimPrefix(server.URL, "http://")})
}

func (p *peers) newRerouter(t *testing.T) *rerouter.Rerouter {
	t.Helper()
	r := rerouter.New(rerouter.Config{
		Self:     namer.Instance{ID: "entry-1", Region: "north", FailureDomain: "north-a"},
		Peers:    func() []namer.Instance { return p.all },
		IsCutOff: func(id string) bool { return p.cutOff[id] },
		Dialect:  serverDialect{},
		Log:      slog.New(slog.DiscardHandler),
	})
	t.Cleanup(r.Close)
	return r
}

func anyRegion(string) bool { return true }

func send(t *testing.T, r *rerouter.Rerouter, isAllowed func(string) bool, body string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	newRequest := func() *pollencrank.Request {
		return &pollencrank.Request{
			ID: "7", Method: http.MethodPost, Host: "a.example", URI: "/x?y=1", Header: http.Header{"Id": {"7"}},
			Deadline: time.Now().Add(5 * time.Second), ContentLength: int64(len(body)), Body: strings.NewReader(body),
		}
	}
	answer, err := r.Send(ctx, rerouter.Request{
		Request: newRequest(), IsAllowed: isAllowed, NewBody: newRequest,
		Hop: rerouter.Hop{MaxAttempts: 2, IsCounted: true, Version: 7},
	})
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	data, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	return string(data), nil
}

func serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, r.Method+" "+r.Host+r.RequestURI+" "+string(body))
}

// refuse answers that the request has not run, or may have.
func refuse(reason pollencrank.Reason, isNotRun bool) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		rerouter.EncodeOutcome(w.Header(), reason, isNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func TestARequestGoesToTheNearestInstanceWhole(t *testing.T) {
	p := &peers{}
	p.add(t, "far", "south", serve)
	p.add(t, "near", "north", serve)
	r := p.newRerouter(t)
	for range 5 {
		got, err := send(t, r, anyRegion, "order")
		require.NoError(t, err)
		require.Equal(t, "POST a.example/x?y=1 order", got)
	}
	require.Equal(t, []string{"near", "near", "near", "near", "near"}, p.asked)
	hop := p.hops[0]
	require.Equal(t, 2, hop.MaxAttempts)
	require.True(t, hop.IsCounted)
	require.Equal(t, uint64(7), hop.Version)
	require.Positive(t, hop.Remaining)
	require.LessOrEqual(t, hop.Remaining, 5*time.Second)
}

func TestWhichInstancesGetARequest(t *testing.T) {
	for name, test := range map[string]struct {
		near    http.HandlerFunc
		cutOff  bool
		allowed string
		asked   []string
		reason  pollencrank.Reason
		isSafe  bool
	}{
		"the near one cannot be reached":     {asked: []string{"far"}},
		"the near one is cut off":            {near: serve, cutOff: true, asked: []string{"far"}},
		"the near one turns out to be":       {near: refuse(pollencrank.ReasonCutOff, true), asked: []string{"near", "far"}},
		"the near one stops":                 {near: refuse(pollencrank.ReasonStopping, true), asked: []string{"near", "far"}},
		"the near one knows no such route":   {near: refuse(pollencrank.ReasonNoRoute, true), asked: []string{"near", "far"}},
		"its servers are full":               {near: refuse(pollencrank.ReasonQueueFull, true), asked: []string{"near"}, reason: pollencrank.ReasonQueueFull, isSafe: true},
		"it reaches no server for a request": {near: refuse(pollencrank.ReasonServerUnreachable, true), asked: []string{"near"}, reason: pollencrank.ReasonNoServer, isSafe: true},
		"the request may have run":           {near: refuse(pollencrank.ReasonServerFailed, false), asked: []string{"near"}, reason: pollencrank.ReasonServerFailed},
		"the home is far":                    {near: serve, allowed: "south", asked: []string{"far"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := &peers{cutOff: map[string]bool{"near": test.cutOff}}
			p.add(t, "near", "north", test.near)
			p.add(t, "far", "south", serve)
			_, err := send(t, p.newRerouter(t), func(region string) bool { return test.allowed == "" || region == test.allowed }, "order")
			require.Equal(t, test.asked, p.asked)
			if test.reason == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, string(test.reason))
			require.Equal(t, test.isSafe, pollencrank.IsNotRun(err))
		})
	}
}

// Guards against a caller that gets 404 for a route that is there: the other instance had an
// earlier configuration than the one that sent the request on.
func TestARouteThatAnotherInstanceDoesNotKnowIsNotMissing(t *testing.T) {
	p := &peers{}
	p.add(t, "only", "north", refuse(pollencrank.ReasonNoRoute, true))
	_, err := send(t, p.newRerouter(t), anyRegion, "order")
	var notRun *pollencrank.NotRunError
	require.ErrorAs(t, err, &notRun)
	require.Equal(t, pollencrank.ReasonNotReady, notRun.Reason)
}

func TestWithoutAnotherInstanceARequestIsRefusedAtOnce(t *testing.T) {
	p := &peers{}
	_, err := send(t, p.newRerouter(t), anyRegion, "")
	require.ErrorContains(t, err, string(pollencrank.ReasonCutOff))
	require.True(t, pollencrank.IsNotRun(err))
}

// Instances of the own failure domain may share the cut.
func TestTheOwnFailureDomainComesAfterOthersOfTheRegion(t *testing.T) {
	p := &peers{}
	p.add(t, "beside", "north", serve)
	p.add(t, "near", "north", serve)
	p.all[0].FailureDomain, p.all[1].FailureDomain = "north-a", "north-b"
	r := p.newRerouter(t)
	for range 5 {
		_, err := send(t, r, anyRegion, "")
		require.NoError(t, err)
	}
	require.Equal(t, []string{"near", "near", "near", "near", "near"}, p.asked)
}

// An instance that could not take a request is not asked again at once.
func TestAnInstanceThatTakesNoRequestsIsAvoided(t *testing.T) {
	p := &peers{}
	p.add(t, "near", "north", refuse(pollencrank.ReasonCutOff, true))
	p.add(t, "far", "south", serve)
	r := p.newRerouter(t)
	for range 3 {
		_, err := send(t, r, anyRegion, "")
		require.NoError(t, err)
	}
	require.Equal(t, []string{"near", "far", "far", "far"}, p.asked)
}

func TestAMalformedHopIsAnError(t *testing.T) {
	for _, header := range []http.Header{
		{},
		{"Pollencrank-Rerouted": {"x"}, "Pollencrank-Version": {"1"}, "Pollencrank-Remaining": {"1s"}},
		{"Pollencrank-Rerouted": {"1"}, "Pollencrank-Version": {"-1"}, "Pollencrank-Remaining": {"1s"}},
		{"Pollencrank-Rerouted": {"1"}, "Pollencrank-Version": {"1"}, "Pollencrank-Remaining": {"1"}},
	} {
		_, err := rerouter.DecodeHop(header)
		require.Error(t, err)
		require.Empty(t, header, "no server sees the headers between instances")
	}
}
