package replayer_test

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/pollencrank/pollencrank/internal/seeded"

	"github.com/pollencrank/pollencrank/replayer"
)

// Earlier attempts may read any part of the body. As long as the part that was read
// fits into the buffer, the last attempt must read the whole body.
func TestEveryAttemptBeginsAtTheStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		content := rapid.SliceOfN(rapid.Byte(), 0, 500).Draw(t, "content")
		body := replayer.New(iotest.HalfReader(bytes.NewReader(content)))
		for range rapid.IntRange(0, 3).Draw(t, "attempts") {
			reader, ok := body.Attempt()
			require.True(t, ok)
			part := make([]byte, rapid.IntRange(0, 600).Draw(t, "part"))
			n, _ := io.ReadFull(reader, part)
			require.Equal(t, content[:n], part[:n])
		}
		if rapid.Bool().Draw(t, "peek") {
			start, err := body.Peek()
			require.NoError(t, err)
			require.True(t, bytes.Equal(content, start))
		}
		reader, ok := body.Attempt()
		require.True(t, ok)
		got, err := io.ReadAll(reader)
		require.NoError(t, err)
		require.True(t, bytes.Equal(content, got))
	})
}

func TestALargeBodyCanBeReadOnlyOnce(t *testing.T) {
	content := bytes.Repeat([]byte("x"), 2*replayer.MaxBytes)
	body := replayer.New(bytes.NewReader(content))
	start, err := body.Peek()
	require.NoError(t, err)
	require.Len(t, start, replayer.MaxBytes)
	reader, ok := body.Attempt()
	require.True(t, ok)
	require.Same(t, body, replayer.BodyOf(reader))
	got, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.Len(t, got, len(content))
	_, ok = body.Attempt()
	require.False(t, ok)
}

func TestASupersededAttemptReadsNothing(t *testing.T) {
	body := replayer.New(bytes.NewReader([]byte("content")))
	old, _ := body.Attempt()
	_, _ = body.Attempt()
	_, err := old.Read(make([]byte, 1))
	require.Error(t, err)
}
