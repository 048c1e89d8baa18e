package hoster

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uptrace/bunrouter"

	"github.com/pollencrank/pollencrank/apportioner"
	"github.com/pollencrank/pollencrank/namer"
	"github.com/pollencrank/pollencrank/rationer"
	"github.com/pollencrank/pollencrank/router"
	"github.com/pollencrank/pollencrank/timekeeper"
)

// Guards against a message that makes an instance use tokens that nobody granted.
func FuzzQuotaMessages(f *testing.F) {
	f.Add([]byte(`{"tenant":"tenant-1","count":3}`))
	f.Add([]byte(`{"granted":2,"retryAfterMs":1e308}`))
	f.Add([]byte(`{"granted":-1,"retryAfterMs":-1}`))
	f.Fuzz(func(t *testing.T, message []byte) {
		if request, err := readQuotaRequest(bytes.NewReader(message)); err == nil {
			require.Positive(t, request.Count)
			require.NotEmpty(t, request.Tenant)
		}
		var answer quotaAnswer
		if json.Unmarshal(message, &answer) != nil {
			return
		}
		const count = 3
		if loan, err := answer.decode(count); err == nil {
			require.LessOrEqual(t, loan.Granted, count)
			require.GreaterOrEqual(t, loan.Granted, 0)
			require.GreaterOrEqual(t, loan.RetryAfter, time.Duration(0))
			require.LessOrEqual(t, loan.RetryAfter, maxRetryAfter)
		}
	})
}

// An instance of an older build answers that it knows no such path: it grants nothing.
func TestAnOlderBuildGrantsNoTokens(t *testing.T) {
	older := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(older.Close)
	h := &Hoster{peers: newPeerClient()}
	h.roster = &roster{h: h}
	peer := namer.Instance{ID: "entry-2", PeerAddress: older.Listener.Addr().String()}
	h.roster.serving.Store(&[]namer.Instance{peer})
	_, err := quotaLender{h}.Borrow(t.Context(), "entry-2", "tenant-1", 1)
	require.ErrorContains(t, err, "404")
	_, err = quotaLender{h}.Borrow(t.Context(), "entry-3", "tenant-1", 1)
	require.ErrorContains(t, err, "gone")
}

// countingListener counts the bytes that its connections carry.
type countingListener struct {
	net.Listener
	in, out atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l}, err
}

type countingConn struct {
	net.Conn
	l *countingListener
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.l.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.l.out.Add(int64(n))
	return n, err
}

// Guards against loans that cost more than the links between instances should carry.
func TestALoanIsSmall(t *testing.T) {
	h := newLender(t)
	routes := bunrouter.New()
	routes.POST(quotaLoansPath, h.serveQuotaLoan)
	server := httptest.NewUnstartedServer(routes)
	counted := &countingListener{Listener: server.Listener}
	server.Listener = counted
	server.Start()
	t.Cleanup(server.Close)
	h.roster.serving.Store(&[]namer.Instance{{ID: "entry-1", PeerAddress: counted.Addr().String()}})
	const loans = 10
	for range loans {
		loan, err := quotaLender{h}.Borrow(t.Context(), "entry-1", "tenant-1", 1)
		require.NoError(t, err)
		require.Equal(t, 1, loan.Granted)
	}
	t.Logf("%d bytes asked and %d answered for a loan", counted.in.Load()/loans, counted.out.Load()/loans)
	require.Less(t, (counted.in.Load()+counted.out.Load())/loans, int64(300))
}

// newLender returns an instance that holds the quota of a tenant.
func newLender(t *testing.T) *Hoster {
	t.Helper()
	self := namer.Instance{ID: "entry-1", Region: "north"}
	h := &Hoster{peers: newPeerClient(), timekeeper: timekeeper.New()}
	h.config.Log = slog.New(slog.DiscardHandler)
	h.config.Bounds.Quotas = rationer.Bounds{Window: 5 * time.Second, Excess: 0.1, Slack: 20}
	h.roster = &roster{h: h}
	began := time.Now().Add(-time.Minute)
	h.membership = apportioner.NewMembership(apportioner.MembershipConfig{Self: memberOf(self), StartedAt: began})
	h.membership.Set([]apportioner.Member{memberOf(self)}, began)
	for at := began; !at.After(time.Now()); at = at.Add(time.Second) {
		h.membership.Sweep(at)
	}
	h.table.Store(router.NewTable(router.Configuration{
		Tenants: []router.Tenant{{Name: "tenant-1", Quota: router.Quota{PerSecond: 1000, Burst: 1000}}},
	}))
	h.rationer = h.newRationer()
	return h
}
