package ejector_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/pollencrank/pollencrank/internal/seeded"

	"github.com/pollencrank/pollencrank/ejector"
)

// After any sequence of results, at most the configured share of servers is ejected,
// and never a server whose last result is a success.
func TestEjectionsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := ejector.New(ejector.Config{})
		now := time.Unix(0, 0)
		var names []string
		for i := range rapid.IntRange(1, 9).Draw(t, "servers") {
			names = append(names, fmt.Sprint(i))
		}
		last := map[string]ejector.Result{}
		for range rapid.IntRange(0, 80).Draw(t, "steps") {
			name := rapid.SampledFrom(names).Draw(t, "server")
			result := ejector.Result(rapid.IntRange(0, 1).Draw(t, "result"))
			e.Observe(name, result, now)
			last[name] = result
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			ejected := e.Ejected(names, now)
			require.LessOrEqual(t, len(ejected), len(names)/2)
			for _, name := range ejected {
				require.Equal(t, ejector.Failure, last[name])
			}
		}
	})
}

func TestEjectionsEndAndGrow(t *testing.T) {
	e := ejector.New(ejector.Config{})
	names := []string{"a", "b"}
	now := time.Unix(0, 0)
	fail := func(times int) (ejected bool) {
		for range times {
			ejected = e.Observe("a", ejector.Failure, now)
		}
		return ejected
	}
	require.True(t, fail(3))
	require.Equal(t, []string{"a"}, e.Ejected(names, now))
	now = now.Add(time.Second)
	require.Empty(t, e.Ejected(names, now), "the first ejection lasts a second")
	require.True(t, fail(1), "one more failure ejects again")
	now = now.Add(1500 * time.Millisecond)
	require.Equal(t, []string{"a"}, e.Ejected(names, now), "for twice as long")
	require.Equal(t, now.Add(500*time.Millisecond), e.NextChange(now))
	e.Observe("a", ejector.Success, now)
	require.Empty(t, e.Ejected(names, now))
}
