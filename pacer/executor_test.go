package pacer_test

import (
	"bytes"
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank"
	"github.com/pollencrank/pollencrank/pacer"
)

// backend reads request bodies and answers with a body of the given size.
type backend struct{ bytes int }

func (b backend) Execute(_ context.Context, request *pollencrank.Request) (*pollencrank.Answer, error) {
	if request.Body != nil {
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return nil, err
		}
	}
	return &pollencrank.Answer{Status: 200, Body: io.NopCloser(bytes.NewReader(make([]byte, b.bytes)))}, nil
}

// newExecutor returns an executor in the north whose links to and from the south
// are limited to a rate.
func newExecutor(answerBytes int, value float64) *pacer.Executor {
	pacers := map[string]*pacer.Pacer{}
	for _, direction := range []string{"north-south", "south-north"} {
		pacers[direction] = pacer.New(pacer.Config{Rate: constantRate(value)})
	}
	return pacer.NewExecutor(pacer.ExecutorConfig{
		Region: "north", Next: backend{answerBytes},
		Pacer: func(from, to string) *pacer.Pacer { return pacers[from+"-"+to] },
	})
}

func execute(e *pacer.Executor, callers string, body []byte) (int64, error) {
	request := &pollencrank.Request{
		Workload: "w", Foreign: callers != "north", CallersRegion: callers, Deadline: time.Now().Add(20 * time.Second),
	}
	if body != nil {
		request.Body, request.ContentLength = bytes.NewReader(body), int64(len(body))
	}
	answer, err := e.Execute(context.Background(), request)
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	return io.Copy(io.Discard, answer.Body)
}

func TestOnlyTransfersOverALimitedLinkArePaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 4 * rate
		e := newExecutor(size, rate)
		cases := []struct {
			callers string
			body    []byte
			seconds float64
		}{
			{"north", nil, 0},
			{"west", nil, 0},
			{"south", nil, 4},
			{"south", make([]byte, 2*rate), 6},
		}
		for _, c := range cases {
			started := time.Now()
			n, err := execute(e, c.callers, c.body)
			require.NoError(t, err)
			require.EqualValues(t, size, n)
			require.InDelta(t, c.seconds, time.Since(started).Seconds(), 0.3, "callers in the %s, body of %d bytes", c.callers, len(c.body))
			time.Sleep(time.Minute)
		}
	})
}

func TestWithoutAllowancesForeignWorkIsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newExecutor(1, 0)
		_, err := execute(e, "north", nil)
		require.NoError(t, err)
		_, err = execute(e, "south", nil)
		var notRun *pollencrank.NotRunError
		require.ErrorAs(t, err, &notRun)
		require.Equal(t, pollencrank.ReasonLinkFull, notRun.Reason)
	})
}

// The executor averages the sizes of a workload's answers, so that later answers
// reserve the bytes that they need.
func TestExpectedSizesAreAveraged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 30 * rate
		e := newExecutor(size, rate)
		n, err := execute(e, "south", nil)
		require.NoError(t, err, "no size is known before the first answer")
		require.EqualValues(t, size, n)
		_, err = execute(e, "south", nil)
		require.True(t, pollencrank.IsNotRun(err), "30 s of sending do not fit in 20 s")
	})
}
