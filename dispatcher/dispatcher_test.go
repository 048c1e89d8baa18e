package dispatcher_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/internal/standin"
)

func startBackend(t *testing.T, config standin.BackendConfig) *standin.Backend {
	t.Helper()
	backend, err := standin.StartBackend(config)
	require.NoError(t, err)
	t.Cleanup(backend.Close)
	return backend
}

func order(body string) *pollencrank.Request {
	return &pollencrank.Request{
		Method: http.MethodPost, Host: "shop.example", URI: "/orders/1", Deadline: time.Now().Add(time.Minute),
		Header: http.Header{"Idempotency-Key": {"k1"}}, Body: strings.NewReader(body), ContentLength: int64(len(body)),
	}
}

func lookup() *pollencrank.Request {
	return &pollencrank.Request{
		Method: http.MethodGet, Host: "shop.example", URI: "/catalogue/1", Deadline: time.Now().Add(time.Minute), Idempotent: true,
		Header: http.Header{},
	}
}

func TestSendPassesTheRequestAndTheAnswer(t *testing.T) {
	var seen atomic.Pointer[http.Request]
	backend := startBackend(t, standin.BackendConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		copied := r.Clone(context.Background())
		seen.Store(copied)
		w.Header().Set("X-Own", "yes")
		w.WriteHeader(http.StatusCreated)
		_, _ = w.Write(append([]byte("got "), body...))
	})})
	d := dispatcher.New(dispatcher.Config{})
	defer d.Close()
	request := order("two crates")
	request.Rank = pollencrank.RankOrdinary
	answer, err := d.Send(context.Background(), dispatcher.Target{Name: "s", Address: backend.Address()}, request)
	require.NoError(t, err)
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	require.Equal(t, "got two crates", string(body))
	require.Equal(t, http.StatusCreated, answer.Status)
	require.Equal(t, "yes", answer.Header.Get("X-Own"))
	require.Equal(t, "shop.example", seen.Load().Host)
	require.Equal(t, "ordinary", seen.Load().Header.Get(dispatcher.HeaderRank))
	require.NotEmpty(t, seen.Load().Header.Get(dispatcher.HeaderTimeout))
	require.Equal(t, "k1", seen.Load().Header.Get("Idempotency-Key"))
}

func TestSendDistinguishesShedRequestsFromFailures(t *testing.T) {
	cases := []struct {
		name   string
		status int
		shed   bool
		notRun bool
	}{
		{"shed with 503", http.StatusServiceUnavailable, true, true},
		{"shed with 429", http.StatusTooManyRequests, true, true},
		{"503 after execution", http.StatusServiceUnavailable, false, false},
		{"the header on another status proves nothing", http.StatusInternalServerError, true, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			backend := startBackend(t, standin.BackendConfig{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if c.shed {
					w.Header().Set(dispatcher.HeaderShed, "true")
				}
				w.WriteHeader(c.status)
			})})
			d := dispatcher.New(dispatcher.Config{})
			defer d.Close()
			answer, err := d.Send(context.Background(), dispatcher.Target{Name: "s", Address: backend.Address()}, order("x"))
			if c.notRun {
				require.True(t, pollencrank.IsNotRun(err))
				return
			}
			require.NoError(t, err)
			require.Equal(t, c.status, answer.Status)
			require.NoError(t, answer.Body.Close())
		})
	}
}

func TestSendIsNotRunWithoutAConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	d := dispatcher.New(dispatcher.Config{})
	_, err = d.Send(context.Background(), dispatcher.Target{Name: "s", Address: address}, order("x"))
	var notRun *pollencrank.NotRunError
	require.ErrorAs(t, err, &notRun)
	require.Equal(t, pollencrank.ReasonServerUnreachable, notRun.Reason)
}

// rawServer accepts connections, counts the requests that it reads, and calls handle
// for each of them. handle writes the answer, if any, to conn.
func rawServer(t *testing.T, handle func(conn net.Conn, number int64)) (address string, requests *atomic.Int64) {
	t.Helper()
	requests = &atomic.Int64{}
	listener, err := standin.Listen(func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, request.Body)
			handle(conn, requests.Add(1))
		}
	})
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String(), requests
}

// Guards against a second execution of an order: net/http retries a request with an
// Idempotency-Key by itself when a reused connection breaks, although the first attempt
// may have run.
func TestSendNeverRepeatsAnOrderByItself(t *testing.T) {
	for _, body := range []string{"", "two crates"} {
		address, requests := rawServer(t, func(conn net.Conn, number int64) {
			if number == 1 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				return
			}
			_ = conn.Close()
		})
		d := dispatcher.New(dispatcher.Config{})
		target := dispatcher.Target{Name: "s", Address: address}
		answer, err := d.Send(context.Background(), target, order(body))
		require.NoError(t, err)
		_, _ = io.Copy(io.Discard, answer.Body)
		require.NoError(t, answer.Body.Close())
		_, err = d.Send(context.Background(), target, order(body))
		var unknown *pollencrank.OutcomeUnknownError
		require.ErrorAs(t, err, &unknown, "body %q", body)
		require.Equal(t, int64(2), requests.Load(), "body %q", body)
		d.Close()
	}
}

func TestSendIsUnknownWhenTheServerClosesTheConnectionAfterReading(t *testing.T) {
	address, _ := rawServer(t, func(conn net.Conn, _ int64) { _ = conn.Close() })
	d := dispatcher.New(dispatcher.Config{})
	_, err := d.Send(context.Background(), dispatcher.Target{Name: "s", Address: address}, order("x"))
	var unknown *pollencrank.OutcomeUnknownError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, pollencrank.ReasonServerFailed, unknown.Reason)
}

func TestSendIsUnknownWhenTheDeadlinePasses(t *testing.T) {
	address, _ := rawServer(t, func(net.Conn, int64) {})
	d := dispatcher.New(dispatcher.Config{})
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
	defer cancel()
	_, err := d.Send(ctx, dispatcher.Target{Name: "s", Address: address}, order("x"))
	var unknown *pollencrank.OutcomeUnknownError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, pollencrank.ReasonDeadlinePassed, unknown.Reason)
}

func TestSendIsNotRunWhenTheDeadlinePassesWhileConnecting(t *testing.T) {
	d := dispatcher.New(dispatcher.Config{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}})
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err := d.Send(ctx, dispatcher.Target{Name: "s", Address: "127.0.0.1:9"}, order("x"))
	require.True(t, pollencrank.IsNotRun(err))
}

func TestATruncatedAnswerIsAnError(t *testing.T) {
	address, _ := rawServer(t, func(conn net.Conn, _ int64) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf")
		_ = conn.Close()
	})
	d := dispatcher.New(dispatcher.Config{})
	answer, err := d.Send(context.Background(), dispatcher.Target{Name: "s", Address: address}, lookup())
	require.NoError(t, err)
	_, err = io.ReadAll(answer.Body)
	require.True(t, errors.Is(err, io.ErrUnexpectedEOF))
	_ = answer.Body.Close()
}

func TestCancellationReachesTheServer(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	backend := startBackend(t, standin.BackendConfig{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(cancelled)
	})})
	d := dispatcher.New(dispatcher.Config{})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	_, err := d.Send(ctx, dispatcher.Target{Name: "s", Address: backend.Address()}, lookup())
	var unknown *pollencrank.OutcomeUnknownError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, pollencrank.ReasonCallerGone, unknown.Reason)
	<-cancelled
}

func TestConnectionsToAServerAreBounded(t *testing.T) {
	var open, maxOpen atomic.Int64
	backend := startBackend(t, standin.BackendConfig{Slots: 100, ServiceTime: func() time.Duration { return time.Millisecond }})
	d := dispatcher.New(dispatcher.Config{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		maxOpen.Store(max(maxOpen.Load(), open.Add(1)))
		return conn, nil
	}})
	defer d.Close()
	const limit = 3
	target := dispatcher.Target{Name: "s", Address: backend.Address(), MaxConnections: limit}
	errs := make(chan error)
	const requests = 50
	for range requests {
		go func() {
			answer, err := d.Send(context.Background(), target, lookup())
			if err == nil {
				_, _ = io.Copy(io.Discard, answer.Body)
				err = answer.Body.Close()
			}
			errs <- err
		}()
	}
	for range requests {
		require.NoError(t, <-errs)
	}
	require.LessOrEqual(t, maxOpen.Load(), int64(limit))
}

// Guards against a server that looks dead while answers occupy all connections for requests.
// The connection of probes counts among those that the server accepts.
func TestAProbeNeedsNoConnectionOfRequests(t *testing.T) {
	const limit = 3
	var dialed atomic.Int64
	running, ended := make(chan struct{}, limit), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/healthz" {
			running <- struct{}{}
			<-ended
		}
	}))
	defer server.Close()
	release := sync.OnceFunc(func() { close(ended) })
	defer release()
	d := dispatcher.New(dispatcher.Config{HasProbeConnection: true, DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		dialed.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}})
	defer d.Close()
	target := dispatcher.Target{Name: "s", Address: server.Listener.Addr().String(), MaxConnections: limit}
	errs := make(chan error, limit)
	for range limit {
		go func() {
			answer, err := d.Send(context.Background(), target, lookup())
			if err == nil {
				err = answer.Body.Close()
			}
			errs <- err
		}()
	}
	for range limit - 1 {
		<-running
	}
	health, err := d.Probe(context.Background(), target)
	require.NoError(t, err)
	require.True(t, health.OK)
	release()
	for range limit {
		require.NoError(t, <-errs)
	}
	require.LessOrEqual(t, dialed.Load(), int64(limit))
}

// Guards against closing the connections of a server that is still listed, also if its
// target leaves MaxConnections at the default.
func TestKeepRetainsConnectionsOfListedServers(t *testing.T) {
	backend := startBackend(t, standin.BackendConfig{Slots: 4})
	var dialed atomic.Int64
	d := dispatcher.New(dispatcher.Config{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		dialed.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, address)
	}})
	defer d.Close()
	target := dispatcher.Target{Name: "s", Address: backend.Address(), HealthPath: "/healthz"}
	for range 3 {
		_, err := d.Probe(context.Background(), target)
		require.NoError(t, err)
		d.Keep([]dispatcher.Target{target})
	}
	require.Equal(t, int64(1), dialed.Load())
	d.Keep(nil)
	_, err := d.Probe(context.Background(), target)
	require.NoError(t, err)
	require.Equal(t, int64(2), dialed.Load())
}

func TestProbeReportsALeavingServer(t *testing.T) {
	backend := startBackend(t, standin.BackendConfig{})
	d := dispatcher.New(dispatcher.Config{})
	defer d.Close()
	target := dispatcher.Target{Name: "s", Address: backend.Address()}
	health, err := d.Warm(context.Background(), target, 3)
	require.NoError(t, err)
	require.True(t, health.OK)
	require.False(t, health.Leaving)
	require.Zero(t, health.Load)
	require.False(t, health.At.IsZero())
	backend.SetLeaving(true)
	health, err = d.Probe(context.Background(), target)
	require.NoError(t, err)
	require.True(t, health.Leaving)
	backend.Close()
	_, err = d.Probe(context.Background(), target)
	require.Error(t, err)
}
