package executor_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/dispatcher"
	"github.com/pollencrank/pollencrank/executor"
	"github.com/pollencrank/pollencrank/isolator"
	"github.com/pollencrank/pollencrank/limiter"
)

// lateCrashSender simulates servers that crash in the middle of their answer to /poison.
type lateCrashSender struct{ *crashingSender }

func (c *lateCrashSender) Send(ctx context.Context, target dispatcher.Target, request *pollencrank.Request) (*pollencrank.Answer, error) {
	if request.URI != "/poison" || c.isDown(target.Name) {
		return c.crashingSender.Send(ctx, target, request)
	}
	c.crashes++
	c.downUntil[target.Name] = time.Now().Add(c.downFor)
	answer, err := ok()
	answer.Body = io.NopCloser(io.MultiReader(bytes.NewReader(make([]byte, 8<<10)), errorReader{}))
	return answer, err
}

type errorReader struct{}

// Read implements io.Reader.
func (errorReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

// Guards against a request that crashes servers in the middle of their answers, and that is
// never blocked.
func TestARequestThatCrashesServersInTheirAnswersIsBlocked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var shared []isolator.Record
		sender := &lateCrashSender{&crashingSender{fakeSender: &fakeSender{}, downUntil: map[string]time.Time{}, downFor: 3 * time.Second}}
		e := executor.New(executor.Config{
			Sender: sender, Budget: limiter.NewRetryBudget(limiter.RetryConfig{}),
			ShareSuspect: func(r isolator.Record) { shared = append(shared, r) },
		})
		var servers []pollencrank.Server
		for _, name := range []string{"a", "b", "c", "d"} {
			servers = append(servers, pollencrank.Server{Name: name, Workload: "w", Slots: 2})
		}
		e.Assign(executor.Assignment{Workloads: []pollencrank.Workload{{Name: "w"}}, Servers: servers, Preset: pollencrank.Preset{ForeignShare: 1}})
		e.Probe(context.Background())
		for range 10 {
			answer, err := e.Execute(context.Background(), poison())
			if err == nil {
				_, err = io.Copy(io.Discard, answer.Body)
				require.NoError(t, answer.Body.Close())
			}
			require.Error(t, err)
			require.NoError(t, send(t, e, "/other", true))
			time.Sleep(5 * time.Second)
			e.Probe(context.Background())
		}
		require.Equal(t, 2, sender.crashes)
		require.Len(t, shared, 2)
	})
}

func poison() *pollencrank.Request {
	r := request(true, "")
	r.URI = "/poison"
	return r
}
