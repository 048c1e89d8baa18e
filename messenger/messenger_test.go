package messenger_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/internal/peerpb"
	"github.com/pollencrank/pollencrank/messenger"
)

// startPeer starts the peer port of an entry whose executor is execute.
func startPeer(t *testing.T, execute pollencrank.ExecutorFunc) (client *messenger.Client, address string, server *http.Server) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server = messenger.NewServer(messenger.NewHandler(messenger.HandlerConfig{
		Executor: execute,
		Load: func() *peerpb.Load {
			return &peerpb.Load{Workloads: []*peerpb.WorkloadLoad{{Workload: "w", Slots: 7}}}
		},
	}), nil)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	client = messenger.NewClient(messenger.ClientConfig{})
	t.Cleanup(client.Close)
	return client, listener.Addr().String(), server
}

func newRequest(body string) *pollencrank.Request {
	r := &pollencrank.Request{
		Workload: "w", Rank: pollencrank.RankOrdinary, Caller: "198.51.100.7", Key: "k", Idempotent: true, Foreign: true,
		Generation: 9, Method: http.MethodPost, Host: "shop.example", URI: "/orders/1?x=y", Deadline: time.Now().Add(time.Minute),
		Header: http.Header{"X-Own": {"a", "b"}},
	}
	if body != "" {
		r.Body, r.ContentLength = strings.NewReader(body), int64(len(body))
	}
	return r
}

func noLoad(*peerpb.Load) {}

func answer(status int, body io.Reader) *pollencrank.Answer {
	return &pollencrank.Answer{Status: status, Header: http.Header{"X-Answer": {"yes"}}, Server: "server-1",
		ContentLength: -1, Body: io.NopCloser(body), Trailer: http.Header{"X-Sum": {"7"}}}
}

func TestForwardPassesTheCompleteRequestAndAnswer(t *testing.T) {
	large := strings.Repeat("0123456789", 20_000)
	var got *pollencrank.Request
	var body []byte
	client, address, _ := startPeer(t, func(_ context.Context, r *pollencrank.Request) (*pollencrank.Answer, error) {
		got = r
		body, _ = io.ReadAll(r.Body)
		return answer(201, bytes.NewReader(body)), nil
	})
	var load *peerpb.Load
	want := newRequest(large)
	a, err := client.Forward(context.Background(), address, want, func(l *peerpb.Load) { load = l })
	require.NoError(t, err)
	received, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	require.NoError(t, a.Body.Close())
	require.Equal(t, large, string(received))
	require.Equal(t, large, string(body))
	require.Equal(t, 201, a.Status)
	require.Equal(t, "server-1", a.Server)
	require.Equal(t, "yes", a.Header.Get("X-Answer"))
	require.Equal(t, "7", a.Trailer.Get("X-Sum"))
	require.Equal(t, uint32(7), load.Workloads[0].Slots)
	require.WithinDuration(t, want.Deadline, got.Deadline, time.Second)
	got.Body, got.Deadline, want.Body, want.Deadline = nil, time.Time{}, nil, time.Time{}
	require.Equal(t, want, got)
}

func TestForwardPassesRefusals(t *testing.T) {
	retryAt := time.Now().Add(time.Second).Truncate(time.Millisecond)
	cases := []error{
		&pollencrank.NotRunError{Reason: pollencrank.ReasonQueueFull, Detail: "full", RetryAt: retryAt},
		&pollencrank.OutcomeUnknownError{Reason: pollencrank.ReasonServerFailed, Detail: "died"},
	}
	for _, want := range cases {
		client, address, _ := startPeer(t, func(context.Context, *pollencrank.Request) (*pollencrank.Answer, error) { return nil, want })
		_, err := client.Forward(context.Background(), address, newRequest(""), noLoad)
		require.Equal(t, want.Error(), err.Error())
		require.Equal(t, pollencrank.IsNotRun(want), pollencrank.IsNotRun(err))
		var notRun *pollencrank.NotRunError
		if errors.As(err, &notRun) {
			require.True(t, retryAt.Equal(notRun.RetryAt))
		}
	}
}

// closedAddress returns an address that refuses connections until the test ends. Its
// port is bound but not listened on, so that no other process can listen there.
func closedAddress(t *testing.T) string {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	t.Cleanup(func() { _ = syscall.Close(socket) })
	require.NoError(t, syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	bound, err := syscall.Getsockname(socket)
	require.NoError(t, err)
	return fmt.Sprintf("127.0.0.1:%d", bound.(*syscall.SockaddrInet4).Port)
}

func TestForwardIsNotRunWhenThePeerCannotBeReached(t *testing.T) {
	client, _, _ := startPeer(t, nil)
	_, err := client.Forward(context.Background(), closedAddress(t), newRequest("x"), noLoad)
	var notRun *pollencrank.NotRunError
	require.ErrorAs(t, err, &notRun)
	require.Equal(t, pollencrank.ReasonPeerUnreachable, notRun.Reason)
}

func TestForwardIsUnknownWhenThePeerCrashes(t *testing.T) {
	var server *http.Server
	var client *messenger.Client
	var address string
	client, address, server = startPeer(t, func(ctx context.Context, _ *pollencrank.Request) (*pollencrank.Answer, error) {
		go func() { _ = server.Close() }()
		<-ctx.Done()
		return nil, pollencrank.OutcomeUnknown(pollencrank.ReasonCallerGone, "gone")
	})
	_, err := client.Forward(context.Background(), address, newRequest(""), noLoad)
	var unknown *pollencrank.OutcomeUnknownError
	require.ErrorAs(t, err, &unknown)
}

func TestForwardIsUnknownWhenTheDeadlinePasses(t *testing.T) {
	client, address, _ := startPeer(t, func(ctx context.Context, _ *pollencrank.Request) (*pollencrank.Answer, error) {
		<-ctx.Done()
		return nil, pollencrank.OutcomeUnknown(pollencrank.ReasonDeadlinePassed, "late")
	})
	r := newRequest("")
	r.Deadline = time.Now().Add(30 * time.Millisecond)
	_, err := client.Forward(context.Background(), address, r, noLoad)
	var unknown *pollencrank.OutcomeUnknownError
	require.ErrorAs(t, err, &unknown)
	require.Equal(t, pollencrank.ReasonDeadlinePassed, unknown.Reason)
}

// brokenReader returns an error after the bytes of left.
type brokenReader struct{ left string }

func (r *brokenReader) Read(p []byte) (int, error) {
	if r.left == "" {
		return 0, errors.New("broken")
	}
	n := copy(p, r.left)
	r.left = r.left[n:]
	return n, nil
}

func TestATruncatedForwardedAnswerIsAnError(t *testing.T) {
	client, address, _ := startPeer(t, func(context.Context, *pollencrank.Request) (*pollencrank.Answer, error) {
		return answer(200, &brokenReader{"half of it"}), nil
	})
	a, err := client.Forward(context.Background(), address, newRequest(""), noLoad)
	require.NoError(t, err)
	defer a.Body.Close()
	_, err = io.ReadAll(a.Body)
	require.Error(t, err)
}

func TestATruncatedRequestBodyIsAnErrorAtTheOwner(t *testing.T) {
	failure := make(chan error, 1)
	client, address, _ := startPeer(t, func(_ context.Context, r *pollencrank.Request) (*pollencrank.Answer, error) {
		_, err := io.ReadAll(r.Body)
		failure <- err
		return nil, pollencrank.OutcomeUnknown(pollencrank.ReasonMalformed, "%v", err)
	})
	r := newRequest("x")
	r.Body, r.ContentLength = &brokenReader{"half"}, -1
	_, err := client.Forward(context.Background(), address, r, noLoad)
	require.Error(t, err)
	require.Error(t, <-failure)
}

func TestCancellationReachesTheOwner(t *testing.T) {
	started, cancelled := make(chan struct{}), make(chan struct{})
	client, address, _ := startPeer(t, func(ctx context.Context, _ *pollencrank.Request) (*pollencrank.Answer, error) {
		close(started)
		<-ctx.Done()
		close(cancelled)
		return nil, pollencrank.OutcomeUnknown(pollencrank.ReasonCallerGone, "gone")
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-started
		cancel()
	}()
	_, err := client.Forward(ctx, address, newRequest(""), noLoad)
	require.Error(t, err)
	<-cancelled
}

// Concurrent requests share connections; each must get its own answer.
func TestForwardedAnswersAreNotMixedUp(t *testing.T) {
	client, address, _ := startPeer(t, func(_ context.Context, r *pollencrank.Request) (*pollencrank.Answer, error) {
		return answer(200, strings.NewReader(r.URI)), nil
	})
	var wait sync.WaitGroup
	for i := range 200 {
		wait.Go(func() {
			r := newRequest("")
			r.URI = "/" + strings.Repeat("x", i)
			a, err := client.Forward(context.Background(), address, r, noLoad)
			if err != nil {
				t.Error(err)
				return
			}
			defer a.Body.Close()
			body, err := io.ReadAll(a.Body)
			if err != nil || string(body) != r.URI {
				t.Errorf("got %q, %v", body, err)
			}
		})
	}
	wait.Wait()
}

// A transport modifies the TLS configuration that it is given. The transports of the
// control and the data connections must each get a copy.
func TestTheTLSConfigurationIsNotShared(t *testing.T) {
	config := &tls.Config{MinVersion: tls.VersionTLS13}
	client := messenger.NewClient(messenger.ClientConfig{
		TLS: config,
		DialContext: func(context.Context, string, string) (net.Conn, error) {
			return nil, net.ErrClosed
		},
	})
	defer client.Close()
	_, err := client.Probe(t.Context(), "127.0.0.1:1", &peerpb.ProbeRequest{})
	require.Error(t, err)
	require.Empty(t, config.NextProtos)
}

func BenchmarkForward(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	server := messenger.NewServer(messenger.NewHandler(messenger.HandlerConfig{
		Executor: pollencrank.ExecutorFunc(func(context.Context, *pollencrank.Request) (*pollencrank.Answer, error) {
			return answer(200, strings.NewReader("ok")), nil
		}),
		Load: func() *peerpb.Load { return nil },
	}), nil)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	client := messenger.NewClient(messenger.ClientConfig{})
	defer client.Close()
	b.ReportAllocs()
	for b.Loop() {
		a, err := client.Forward(context.Background(), listener.Addr().String(), newRequest(""), noLoad)
		require.NoError(b, err)
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
	}
}
