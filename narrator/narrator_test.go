package narrator_test

import (
	"flag"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/pollencrank/pollencrank/narrator"
)

var update = flag.Bool("update", false, "rewrite the golden file")

func read(t *testing.T) []narrator.Line {
	t.Helper()
	file, err := os.Open("testdata/fleet.log")
	require.NoError(t, err)
	defer file.Close()
	lines, skipped, err := narrator.Read("fleet.log", file)
	require.NoError(t, err)
	require.Equal(t, 1, skipped)
	return lines
}

func TestNewTimeline(t *testing.T) {
	var got strings.Builder
	require.NoError(t, narrator.NewTimeline(read(t), "aa01").Write(&got))
	const golden = "testdata/story.golden"
	if *update {
		require.NoError(t, os.WriteFile(golden, []byte(got.String()), 0o600))
	}
	want, err := os.ReadFile(golden)
	require.NoError(t, err)
	require.Equal(t, string(want), got.String())
}

func TestTheTimelineOfAnUnknownRequestIsEmpty(t *testing.T) {
	require.Empty(t, narrator.NewTimeline(read(t), "nobody").Lines)
}

func TestTheSourceOfALineWithoutPrefixIsTheNameOfTheLog(t *testing.T) {
	log := `{"time":"2026-12-04T09:00:31Z","event":"PC1101","msg":"x","request":"r"}`
	lines, skipped, err := narrator.Read("entry-1.log", strings.NewReader(log+"\n{\"time\":3}\n{broken\n"))
	require.NoError(t, err)
	require.Equal(t, 2, skipped)
	require.Len(t, lines, 1)
	require.Equal(t, "entry-1.log", lines[0].Source)
}

func FuzzRead(f *testing.F) {
	f.Add(`x {"time":"2026-12-04T09:00:31Z","event":"PC1101","request":"r","error":"server a: b"}`)
	f.Fuzz(func(t *testing.T, log string) {
		lines, _, err := narrator.Read("log", strings.NewReader(log))
		if err != nil {
			return
		}
		require.NoError(t, narrator.NewTimeline(lines, "r").Write(&strings.Builder{}))
	})
}
